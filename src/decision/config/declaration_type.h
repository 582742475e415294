/** @file declaration_type.h Declarations of operators: services, key spaces and request rules. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriahoist {

/** Where a request carries its key. */
enum class KeyPlace {
    PathSegment, ///< A segment of the path, counted from 0.
    Header,      ///< A header field.
    Query,       ///< A query parameter.
};

/** Whether a request may run more than once. */
enum class Repetition {
    Idempotent,    ///< Repeating it has no further effect; it may be retried.
    MustNotRepeat, ///< Runs at most once; not retried if the outcome is unknown.
};

/** Handling of a must-not-repeat request without an idempotency key. */
enum class MissingKey {
    Refuse,        ///< Answered with 400; not run.
    SingleAttempt, ///< One attempt, no retry; a repeat by the caller isn't recognised.
};

/** Handling of a must-not-repeat request whose idempotency key does not state its age. */
enum class MissingAge {
    Refuse,       ///< Answered as unknown outcome while the owner is younger than the keys' TTL.
    FirstSending, ///< Treated as the first; a repeat after a change of owner runs again.
};

/** The measure that has the highest weight in the placement of a service. */
enum class MeasurePriority {
    Even,            ///< All have the same weight.
    UnavailableTime, ///< Callers leave if they have to wait.
    Churn,           ///< State is expensive to move; callers can wait.
};

/** Handling of a request at an ingress when another node owns its key. */
enum class Misrouted {
    Forward,  ///< Forwards it to the owner and returns the response.
    Redirect, ///< 307 to the owner's caller address.
};

/** Which checks of grants the backend servers of a service make. */
enum class GrantMode {
    Fenced,    ///< They refuse a grant with an older epoch or after its expiry.
    Unchecked, ///< None; requests must arrive only through the local node.
};

/** A rule for the requests of one service. */
struct RouteRule {
    std::string method; ///< Empty: any method.
    std::string pathPrefix = "/";
    bool keyed = true; ///< false: any instance may serve it.
    Repetition repetition = Repetition::MustNotRepeat;
    milliseconds deadline{2000};    ///< Default and maximum for callers' requests.
    milliseconds queueTimeout{500}; ///< Maximum time in the admission queue.
    MissingKey missingKey = MissingKey::Refuse;
    MissingAge missingAge = MissingAge::Refuse;
    bool operator==(const RouteRule &) const = default;
};

/** The key space that is divided among the instances of a service. */
struct KeySpaceDeclaration {
    KeyPlace place = KeyPlace::PathSegment;
    std::string name;     ///< Name of the header or query parameter.
    uint32_t segment = 0; ///< Index of the path segment.
    uint64_t hashSeed = 0;
    uint32_t initialSlices = 64; ///< Number of ranges of a new key space.
    bool operator==(const KeySpaceDeclaration &) const = default;
};

/** One service. */
struct ServiceDeclaration {
    std::string name;
    std::string host; ///< Requests with this Host header belong to the service.
    KeySpaceDeclaration keySpace;
    std::vector<RouteRule> routes; ///< The first match applies.
    GrantMode grantMode = GrantMode::Fenced;
    Misrouted misrouted = Misrouted::Forward;
    MeasurePriority priority = MeasurePriority::Even;
    bool operator==(const ServiceDeclaration &) const = default;
};

/** A complete set of declarations, accepted and applied as a whole. */
struct Declarations {
    uint64_t version = 0; ///< Increases by one with each accepted change; 0: none yet.
    std::vector<ServiceDeclaration> services;

    const ServiceDeclaration *findService(std::string_view name) const
    {
        for (const ServiceDeclaration &service : services) {
            if (service.name == name) {
                return &service;
            }
        }
        return nullptr;
    }
};

} // namespace wisteriahoist
