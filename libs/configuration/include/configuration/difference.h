#pragma once

#include "configuration/configuration.h"

#include <string>
#include <vector>

namespace Cornelquay {

/** How a named entry differs between two configurations. */
enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/** One difference between two configurations. */
struct ConfigurationChange {
    ChangeKind kind = ChangeKind::Changed;
    /** "service", "team", "pool", "region" or "policy". */
    std::string section;
    std::string name;
    /** The fields that differ, such as "limit 40 -> 50"; empty for added and removed entries. */
    std::string detail;

    bool operator==(const ConfigurationChange &) const = default;
};

/** The name of @p kind in text output and JSON. */
std::string toName(ChangeKind kind);

/** The changes from @p before to @p after, by section in the order region, pool, service, team, policy. Pure. */
std::vector<ConfigurationChange> difference(const Configuration &before, const Configuration &after);

}
