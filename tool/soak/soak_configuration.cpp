/** @file soak_configuration.cpp The services, routes and kinds of requests of a soak. */

#include "soak/soak_configuration.h"

#include <algorithm>

namespace wisteriahoist::soak {

namespace {

const std::string Shelf = "shelf"; ///< Its keys are divided.
const std::string Front = "front";
const std::string Side = "side";
const std::string MovedPath = "/moved/";
constexpr uint32_t MaxAttempts = 2;
constexpr milliseconds RouteTimeout{2500};
constexpr milliseconds LatencyObjective{600};

std::vector<RequestShape> baseShapes()
{
    return {{"/keyed/", true, true, MaxAttempts},
            {"/order/", false, true, MaxAttempts},
            {"/book/", false, false, MaxAttempts},
            {"/look/", true, false, MaxAttempts},
            {MovedPath, true, false, MaxAttempts}};
}

Route makeRoute(const std::string &path, const std::string &service, bool mayRepeat)
{
    Route route;
    route.name = path.substr(1, path.size() - 2);
    route.host = "shop.example";
    route.pathPrefix = path;
    route.targets = {{service, 1}};
    route.kind = mayRepeat ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    route.timeout = RouteTimeout;
    route.latencyObjective = LatencyObjective;
    route.maxAttempts = MaxAttempts;
    return route;
}

} // namespace

std::string serviceOf(size_t index)
{
    switch (index % 4) {
    case 0:
    case 2:
        return Shelf;
    case 1:
        return Front;
    default:
        return Side;
    }
}

std::vector<std::string> servicesOf(size_t nodes)
{
    std::vector<std::string> services;
    for (size_t index = 0; index < nodes; ++index) {
        services.push_back(serviceOf(index));
    }
    return services;
}

bool isSharded(const std::string &service)
{
    return service == Shelf;
}

RouteConfig SoakConfiguration::next()
{
    ++version_;
    movedTo_ = movedTo_ == Side ? Front : Side;
    addedPaths_.push_back("/v" + std::to_string(version_) + "/");
    RouteConfig config;
    config.version = version_;
    const GrantDelivery grants
            = grantsByHeartbeat_ ? GrantDelivery::Heartbeat : GrantDelivery::Call;
    for (const std::string &service : {Shelf, Front, Side}) {
        config.services[service] = {service, 0, isSharded(service), grants};
    }
    for (const RequestShape &shape : baseShapes()) {
        const std::string fixed = shape.keyed ? Shelf : Front;
        const std::string service = shape.path == MovedPath ? movedTo_ : fixed;
        config.routes.push_back(makeRoute(shape.path, service, shape.mayRepeat));
    }
    for (const std::string &path : addedPaths_) {
        config.routes.push_back(makeRoute(path, Front, true));
    }
    return config;
}

std::vector<RequestShape> SoakConfiguration::shapes(size_t addedPaths) const
{
    std::vector<RequestShape> shapes = baseShapes();
    const size_t first = addedPaths_.size() - std::min(addedPaths, addedPaths_.size());
    for (size_t index = first; index < addedPaths_.size(); ++index) {
        shapes.push_back({addedPaths_[index], true, false, MaxAttempts});
    }
    return shapes;
}

} // namespace wisteriahoist::soak
