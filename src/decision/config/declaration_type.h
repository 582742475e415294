/** @file declaration_type.h What operators declare: services, key spaces and request rules. */

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
    Idempotent,    ///< Running it again changes nothing; it may be retried.
    MustNotRepeat, ///< At most one run; an unknown outcome is never retried.
};

/** What a must-not-repeat request without an idempotency key gets. */
enum class MissingKey {
    Refuse,        ///< 400; it is not run.
    SingleAttempt, ///< One try, no retry; a repeat by the caller cannot be recognised.
};

/** What a must-not-repeat request gets whose idempotency key does not state its age. */
enum class MissingAge {
    Refuse,       ///< Unknown outcome, while the owner is younger than the keys' time to live.
    FirstSending, ///< Taken as the first; a repeat after a change of owner runs again.
};

/** Which measure the placement of a service weighs most. */
enum class MeasurePriority {
    Even,            ///< None first.
    UnavailableTime, ///< An owner who waits leaves.
    Churn,           ///< State is costly to move; callers can wait.
};

/** What an ingress does with a request whose owner is another node. */
enum class Misrouted {
    Forward,  ///< Runs it there and returns the answer.
    Redirect, ///< 307 to the owner's caller address.
};

/** What the backend servers of a service check. */
enum class GrantMode {
    Fenced,    ///< The backend server refuses a grant with an older epoch or past its expiry.
    Unchecked, ///< The backend server checks nothing; the node beside it is the only door.
};

/** A rule for the requests of one service. */
struct RouteRule {
    std::string method; ///< Empty: any method.
    std::string pathPrefix = "/";
    bool keyed = true; ///< false: any instance may serve it.
    Repetition repetition = Repetition::MustNotRepeat;
    milliseconds deadline{2000};    ///< Default, and the highest a caller may ask for.
    milliseconds queueTimeout{500}; ///< How long it may wait in the queue.
    MissingKey missingKey = MissingKey::Refuse;
    MissingAge missingAge = MissingAge::Refuse;
    bool operator==(const RouteRule &) const = default;
};

/** The key space that a service divides among its instances. */
struct KeySpaceDeclaration {
    KeyPlace place = KeyPlace::PathSegment;
    std::string name;     ///< Name of the header or query parameter.
    uint32_t segment = 0; ///< Index of the path segment.
    uint64_t hashSeed = 0;
    uint32_t initialSlices = 64; ///< Ranges that a new key space is cut into.
    bool operator==(const KeySpaceDeclaration &) const = default;
};

/** One service. */
struct ServiceDeclaration {
    std::string name;
    std::string host; ///< Requests with this Host header belong to the service.
    KeySpaceDeclaration keySpace;
    std::vector<RouteRule> routes; ///< The first that matches decides.
    GrantMode grantMode = GrantMode::Fenced;
    Misrouted misrouted = Misrouted::Forward;
    MeasurePriority priority = MeasurePriority::Even;
    bool operator==(const ServiceDeclaration &) const = default;
};

/** All that is declared; accepted and put in force as a whole. */
struct Declarations {
    uint64_t version = 0; ///< Rises by one with each accepted change; 0: nothing declared yet.
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
