#include "jobnode/queueroutes.h"

namespace Cornelquay {

std::optional<RouteMatch> findRoute(const NodeConfiguration &configuration, std::string_view host, std::string_view path)
{
    const std::string_view name = host.substr(0, host.find(':'));
    std::optional<RouteMatch> best;
    for (const QueueRoute &route : configuration.routes) {
        const bool longer = !best || route.pathPrefix.size() > best->route->pathPrefix.size();
        if (longer && route.host == name && path.substr(0, route.pathPrefix.size()) == route.pathPrefix) {
            best = RouteMatch{&route, path.substr(route.pathPrefix.size())};
        }
    }
    return best;
}

}
