/** @file deduplication_table.h Which idempotency keys a gate has run, and their answers. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace wisteriahoist {

/** Bounds of the table. */
struct DeduplicationLimits {
    size_t entries = 65536;
    size_t bytes = 8 * 1024 * 1024;   ///< Keys and stored answers.
    milliseconds timeToLive{120000};  ///< How long a caller may repeat a key.
    milliseconds transitMargin{5000}; ///< The longest way from a caller's sending to this table.
};

/** One request with an idempotency key. */
struct KeyedAttempt {
    std::string service;
    std::string idempotencyKey;
    std::string fingerprint;          ///< Of method, target and body; a key names one request.
    std::optional<milliseconds> age;  ///< Since the caller first sent the key; 0: first sending.
    bool refuseUnknownAge = true;     ///< The declared answer to a key without an age.
    TimePoint epochSince = NeverTime; ///< When this node began to own the key's range.
};

/** What to do with the attempt. */
enum class DeduplicationStep {
    Run,            ///< Not seen before: run it, then call finish() or forget().
    InProgress,     ///< The first attempt still runs.
    Replay,         ///< It has run; here is its answer.
    Reused,         ///< The key was used for another request.
    OutcomeUnknown, ///< It ran, but its outcome is not known.
    OlderThanEpoch, ///< It may have run at an earlier owner.
    TableFull,      ///< No room for a key that must be remembered.
};

/** The step, and the stored answer for Replay. */
struct DeduplicationDecision {
    DeduplicationStep step = DeduplicationStep::Run;
    std::string answer;
};

/**
 * Remembers idempotency keys for their time to live. Memory of earlier owners is gone (no disks):
 * a repeated key that is older than this node's ownership is refused, since it may have run there.
 *
 * An entry is never dropped before its time to live to make room: a dropped one would let its
 * repeat run again, which the caller sees as a doubled booking. New keys are refused instead.
 * Only the stored answer may be dropped early; its key stays, as of unknown outcome.
 */
class DeduplicationTable
{
public:
    explicit DeduplicationTable(DeduplicationLimits limits) : limits_(limits) { }

    DeduplicationDecision begin(const KeyedAttempt &attempt, TimePoint now);

    /** The attempt has run. @param answer Stored for repeats; nothing if it is not known. */
    void finish(const std::string &service, const std::string &idempotencyKey,
                std::optional<std::string> answer, TimePoint now);

    /** The attempt provably did not run; the key may be used again. */
    void forget(const std::string &service, const std::string &idempotencyKey);

    size_t size() const { return entries_.size(); }
    size_t bytes() const { return bytes_; }

private:
    using Name = std::pair<std::string, std::string>;
    enum class State { Running, Done, Unknown };
    struct Entry {
        std::string fingerprint;
        State state = State::Running;
        std::string answer;
        std::list<std::pair<TimePoint, Name>>::iterator expiry; ///< Valid unless Running.
    };

    void expire(TimePoint now);
    bool mayHaveRunEarlier(const KeyedAttempt &attempt, TimePoint now) const;
    size_t costOf(const Name &name, const Entry &entry) const;

    DeduplicationLimits limits_;
    std::map<Name, Entry> entries_;                  ///< Invariant: at most limits_.entries.
    std::list<std::pair<TimePoint, Name>> expiries_; ///< Ended entries, oldest first.
    size_t bytes_ = 0; ///< Invariant: the sum of costOf() over entries_, at most limits_.bytes
                       ///< plus the fingerprints of running ones.
};

/** An Idempotency-Key header, parsed. */
struct IdempotencyHeader {
    std::string key;
    std::optional<milliseconds> age;
};

/**
 * Parses `"key"` or `"key";age=MILLISECONDS` (a structured field item, RFC 8941); a bare token is
 * taken as the key too, since many callers send one.
 * @return nothing if it is malformed, empty or over 255 characters.
 */
std::optional<IdempotencyHeader> parseIdempotencyHeader(std::string_view text);

} // namespace wisteriahoist
