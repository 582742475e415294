/** @file route_config_type.h Routes, services and caller limits of one configuration version. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriahoist {

/** What may be repeated. */
enum class RequestKind {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of a caller.
};

/** One service that a route leads to. */
struct RouteTarget {
    std::string service;
    double weight = 1; ///< Share of the route's requests, relative to its siblings; above 0.
    bool operator==(const RouteTarget &) const = default;
};

/** Requests of one host below one path. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;           ///< Begins and ends with a slash.
    std::vector<RouteTarget> targets; ///< Never empty.
    RequestKind kind = RequestKind::NonIdempotent;
    milliseconds timeout{0};          ///< The longest time that a caller is kept waiting.
    milliseconds latencyObjective{0}; ///< A later answer is worth less to the caller; 0: unknown.
    uint32_t maxAttempts = 1;         ///< Instances that one attempt of a caller may be sent to.
    uint32_t priority = 0;            ///< 0 is the highest.
    bool operator==(const Route &) const = default;
};

/** How a backend server is told which keys it holds. */
enum class GrantDelivery {
    Call,      ///< A call for each range.
    Heartbeat, ///< All at once, in the answer to its heartbeat.
};

/** One service as its operators declare it. */
struct ServiceConfig {
    std::string name;
    uint32_t maxConnections = 0; ///< That an instance accepts in all; 0: not declared.
    bool sharded = false;        ///< Each instance holds a part of the keys.
    GrantDelivery grants = GrantDelivery::Call;
    bool operator==(const ServiceConfig &) const = default;
};

/** Bounds on what a caller may send and how long it may take. */
struct CallerLimits {
    uint32_t headerBytes = 16 * 1024;
    uint64_t bodyBytes = 64 * 1024 * 1024;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
    bool operator==(const CallerLimits &) const = default;
};

/** A whole configuration. */
struct RouteConfig {
    uint64_t version = 0; ///< Rises with each change, not always by one; 0: none yet.
    std::vector<Route> routes;
    std::map<std::string, ServiceConfig> services;
    CallerLimits limits;
};

using RouteConfigPtr = std::shared_ptr<const RouteConfig>;

} // namespace wisteriahoist
