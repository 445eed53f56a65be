#pragma once

#include "jobnode/ports.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** The route that a caller's request takes. */
struct RouteMatch {
    /** Points into the configuration that was searched. */
    const QueueRoute *route = nullptr;
    /** The rest of the path, after the route's prefix. Refers to the path that was passed. */
    std::string_view rest;
};

/**
 * Finds the route of @p host with the longest prefix of @p path; nothing if none matches.
 * A port in @p host is ignored. Pure.
 */
std::optional<RouteMatch> findRoute(const NodeConfiguration &configuration, std::string_view host, std::string_view path);

}
