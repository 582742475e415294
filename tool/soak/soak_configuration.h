/** @file soak_configuration.h The services, routes and kinds of requests of a soak, and how they
 * change.
 */

#pragma once

#include "decision/routing/route_config_type.h"
#include "soak/soak_callers.h"

namespace wisteriahoist::soak {

/** @return The service of the backend server beside node @p index. */
std::string serviceOf(size_t index);
/** @return The services of the first @p nodes nodes. */
std::vector<std::string> servicesOf(size_t nodes);
/** @return Whether the service's keys are divided among its backend servers. */
bool isSharded(const std::string &service);

/**
 * Makes one configuration after the other. Each adds a route that no earlier one has, and moves one
 * route to the other keyless service, so that it shows which configuration a node goes by.
 */
class SoakConfiguration
{
public:
    explicit SoakConfiguration(bool grantsByHeartbeat) : grantsByHeartbeat_(grantsByHeartbeat) { }

    /** Goes on to the next configuration. */
    RouteConfig next();

    /** @return Requests that the present configuration serves, with those for the latest
     *          @p addedPaths routes that were added. */
    std::vector<RequestShape> shapes(size_t addedPaths) const;

    uint64_t version() const { return version_; }
    const std::string &movedTo() const { return movedTo_; }

private:
    bool grantsByHeartbeat_;
    uint64_t version_ = 0;
    std::vector<std::string> addedPaths_; ///< One for each configuration.
    std::string movedTo_;                 ///< Service of the route that moves.
};

} // namespace wisteriahoist::soak
