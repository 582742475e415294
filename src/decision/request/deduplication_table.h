/** @file deduplication_table.h Idempotency keys that a gate has run, with the stored responses. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace wisteriahoist {

/** Limits of the table. */
struct DeduplicationLimits {
    size_t entries = 65536;
    size_t bytes = 8 * 1024 * 1024;   ///< Keys and stored responses.
    milliseconds timeToLive{120000};  ///< How long a caller may retry with the same key.
    milliseconds transitMargin{5000}; ///< Longest transit time from a caller to this table.
};

/** One request with an idempotency key. */
struct KeyedAttempt {
    std::string service;
    std::string idempotencyKey;
    std::string fingerprint;          ///< Of method, target and body; a key identifies one request.
    std::optional<milliseconds> age;  ///< Time since the key was first sent; 0: first sending.
    bool refuseUnknownAge = true;     ///< Configured: refuse a key without an age.
    TimePoint epochSince = NeverTime; ///< When this node became owner of the key's range.
};

/** How to handle the attempt. */
enum class DeduplicationStep {
    Run,            ///< The key is new: run the request, then call finish() or forget().
    InProgress,     ///< The first attempt is still running.
    Replay,         ///< The request has run; return the stored response.
    Reused,         ///< The key was used for a different request.
    OutcomeUnknown, ///< The request was sent, but its outcome is not known.
    OlderThanEpoch, ///< The request may have run at a previous owner.
    TableFull,      ///< There is no room to store the key.
};

/** The step, and the stored response for Replay. */
struct DeduplicationDecision {
    DeduplicationStep step = DeduplicationStep::Run;
    std::string response;
};

/**
 * Stores idempotency keys for their time to live. The tables of previous owners are lost, since
 * nothing is kept on disk: a retry with a key that is older than this node's ownership is refused,
 * because the request may have run there.
 *
 * An entry is never evicted to make room before its time to live ends: a retry of an evicted key
 * would run again, for example as a second booking. New keys are refused instead. Only the stored
 * response may be dropped early; the key then stays with an unknown outcome.
 */
class DeduplicationTable
{
public:
    explicit DeduplicationTable(DeduplicationLimits limits) : limits_(limits) { }

    /** Looks up the key of an attempt and stores it if the request is to be run. */
    DeduplicationDecision begin(const KeyedAttempt &attempt, TimePoint now);

    /** The request has run or may have run. @param response Stored for retries; nullopt if it is
     *  not known. */
    void finish(const std::string &service, const std::string &idempotencyKey,
                std::optional<std::string> response, TimePoint now);

    /** The request provably did not run; the key may be used again. */
    void forget(const std::string &service, const std::string &idempotencyKey);

    size_t size() const { return entries_.size(); }
    size_t bytes() const { return bytes_; }

private:
    using EntryKey = std::pair<std::string, std::string>;
    enum class State { Running, Done, Unknown };
    struct Entry {
        std::string fingerprint;
        State state = State::Running;
        std::string response;
        std::list<std::pair<TimePoint, EntryKey>>::iterator expiry; ///< Valid unless Running.
    };

    void expire(TimePoint now);
    bool mayHaveRunEarlier(const KeyedAttempt &attempt, TimePoint now) const;
    size_t costOf(const EntryKey &name, const Entry &entry) const;

    DeduplicationLimits limits_;
    std::map<EntryKey, Entry> entries_;                  ///< Invariant: at most limits_.entries.
    std::list<std::pair<TimePoint, EntryKey>> expiries_; ///< Ended entries by time of expiry.
    size_t bytes_ = 0; ///< Invariant: the sum of costOf() over entries_, at most limits_.bytes
                       ///< plus the fingerprints of running ones.
};

/** A parsed Idempotency-Key header. */
struct IdempotencyHeader {
    std::string key;
    std::optional<milliseconds> age;
};

/**
 * Parses `"key"` or `"key";age=MILLISECONDS` (a structured field item, RFC 8941). A bare token is
 * accepted as the key too, since many callers send one.
 * @return nullopt if it is malformed, empty or longer than 255 characters.
 */
std::optional<IdempotencyHeader> parseIdempotencyHeader(std::string_view text);

} // namespace wisteriahoist
