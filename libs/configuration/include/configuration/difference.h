#pragma once

#include "configuration/configuration.h"

#include <string>
#include <vector>

namespace Cornelquay {

/** What happened to one named thing between two configurations. */
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
    /** What is different, such as "limit 40 -> 50"; empty for added and removed things. */
    std::string detail;

    bool operator==(const ConfigurationChange &) const = default;
};

/** The name of @p kind in output and JSON. */
std::string toName(ChangeKind kind);

/** What changes from @p before to @p after, ordered by section and name. */
std::vector<ConfigurationChange> difference(const Configuration &before, const Configuration &after);

}
