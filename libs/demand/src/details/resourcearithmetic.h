#pragma once

#include "jobs/jobspec.h"

#include <algorithm>
#include <cstdint>

namespace Cornelquay {

inline Resources divided(const Resources &sum, std::int64_t by)
{
    return {sum.cpu / by, sum.memory / by, sum.gpu / by};
}

inline Resources scaled(const Resources &resources, double factor)
{
    const auto product = [factor](std::int64_t amount) {
        return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
    };
    return {product(resources.cpu), product(resources.memory), product(resources.gpu)};
}

/** For each resource, the larger amount. */
inline Resources largerOf(const Resources &left, const Resources &right)
{
    return {std::max(left.cpu, right.cpu), std::max(left.memory, right.memory), std::max(left.gpu, right.gpu)};
}

}
