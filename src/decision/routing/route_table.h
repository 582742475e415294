/** @file route_table.h Finds the route of a request: by host, then by longest path prefix. */

#pragma once

#include "decision/routing/route_config_type.h"

#include <string_view>
#include <unordered_map>

namespace wisteriahoist {

/** An immutable index over one configuration. */
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(RouteConfigPtr config);

    /**
     * @param host The Host field as received; a port in it is ignored.
     * @param target The request target; only its path is used.
     * @return nullptr if no route matches.
     */
    const Route *find(std::string_view host, std::string_view target) const;

    /** @return nullptr if the service is not declared. */
    const ServiceConfig *findService(const std::string &name) const;

    /** @return 0 before the first configuration. */
    uint64_t version() const { return config_ ? config_->version : 0; }

    const RouteConfigPtr &config() const { return config_; }

private:
    RouteConfigPtr config_;
    /// Points into config_. Invariant: each list is sorted by prefix length, longest first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
};

/**
 * Holds the newest configuration that this process has received.
 * Invariant: its version never decreases. A re-read after a lost watch may return an older state;
 * if it were applied, callers would get 404 again for a route that was just added.
 */
class RouteConfigHolder
{
public:
    /** @return Whether @p config was newer and has been applied. */
    bool offer(RouteConfig config);

    const std::shared_ptr<const RouteTable> &table() const { return table_; }

private:
    std::shared_ptr<const RouteTable> table_ = std::make_shared<RouteTable>();
};

/**
 * Distributes the requests of a route over its targets in proportion to their weights, by smooth
 * weighted round robin: after any number of picks each target is within one request of its share.
 * A random choice deviates from the declared shares by 5% and more over a few hundred requests.
 */
class TargetPicker
{
public:
    /** @return The service for the next request of @p route. */
    const std::string &pick(const Route &route);

private:
    struct Credits {
        std::vector<RouteTarget>
                targets; ///< The targets and weights that the credits were computed for.
        std::vector<double> credits;
    };
    std::unordered_map<std::string, Credits> byRoute_;
};

} // namespace wisteriahoist
