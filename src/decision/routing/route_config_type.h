/** @file route_config_type.h Routes, services and caller limits of one configuration version. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriahoist {

/** Whether a request may run more than once. */
enum class RequestKind {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of a caller.
};

/** A service that a route forwards requests to. */
struct RouteTarget {
    std::string service;
    double weight = 1; ///< Share of the route's requests, relative to its siblings; above 0.
    bool operator==(const RouteTarget &) const = default;
};

/** Forwarding rule for the requests to one host below one path prefix. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;           ///< Begins and ends with a slash.
    std::vector<RouteTarget> targets; ///< Never empty.
    RequestKind kind = RequestKind::NonIdempotent;
    milliseconds timeout{0};          ///< Maximum time until the caller gets a response.
    milliseconds latencyObjective{0}; ///< A later response is worth less to the caller; 0: unknown.
    uint32_t maxAttempts = 1; ///< Maximum number of instances tried for one attempt of a caller.
    uint32_t priority = 0;    ///< 0 is the highest.
    bool operator==(const Route &) const = default;
};

/** How a backend server receives the grants for its key ranges. */
enum class GrantDelivery {
    Call,      ///< One call for each range.
    Heartbeat, ///< All ranges at once, in the response to its heartbeat.
};

/** One service as declared by its operators. */
struct ServiceConfig {
    std::string name;
    uint32_t maxConnections = 0; ///< Maximum total of one instance; 0: not declared.
    bool sharded = false;        ///< Each instance owns a part of the keys.
    GrantDelivery grants = GrantDelivery::Call;
    double coldRequestRate = 0; ///< Requests per second that a cold instance tolerates; 0: not
                                ///< declared.
    bool operator==(const ServiceConfig &) const = default;
};

/** Limits on the size and the duration of a caller's request. */
struct CallerLimits {
    uint32_t headerBytes = 16 * 1024;
    uint64_t bodyBytes = 64 * 1024 * 1024;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
    bool operator==(const CallerLimits &) const = default;
};

/** One complete configuration. */
struct RouteConfig {
    uint64_t version = 0; ///< Increases with each change, not always by one; 0: none yet.
    std::vector<Route> routes;
    std::map<std::string, ServiceConfig> services;
    CallerLimits limits;
};

using RouteConfigPtr = std::shared_ptr<const RouteConfig>;

} // namespace wisteriahoist
