#pragma once

#include "jobnode/ports.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Where a caller's path leads. */
struct RouteMatch {
    const QueueRoute *route = nullptr;
    /** What follows the prefix. */
    std::string_view rest;
};

/** Finds the route with the longest prefix of @p path among those of @p host. Pure. */
std::optional<RouteMatch> findRoute(const NodeConfiguration &configuration, std::string_view host, std::string_view path);

}
