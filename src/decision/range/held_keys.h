/** @file held_keys.h The key ranges that a backend server reports, and those granted to it. */

#pragma once

#include "decision/range/range_type.h"

namespace wisteriahoist {

/** Keys that a backend server holds, or for which requests are still running. */
struct HeldKeys {
    KeySpan span;
    Epoch fence;
    bool operator==(const HeldKeys &) const = default;
};

/**
 * Keys that a backend server has released, with the hand-over token that saves the next holder the
 * warm-up.
 */
struct ReleasedKeys {
    KeySpan span;
    std::string handover;
    bool operator==(const ReleasedKeys &) const = default;
};

/** The part of a heartbeat that concerns keys. */
struct HeldKeysReport {
    std::vector<HeldKeys> holds;
    std::vector<ReleasedKeys> released; ///< Since the last acknowledged heartbeat.
    uint64_t sequence = 0; ///< Number of the heartbeat within the sender's incarnation.
    bool operator==(const HeldKeysReport &) const = default;
};

/** Keys granted by the reply to a heartbeat. */
struct GrantedKeys {
    KeySpan span;
    Epoch fence;
    std::string handover; ///< Hand-over token; empty: none, or no longer needed.
    bool operator==(const GrantedKeys &) const = default;
};

/**
 * All keys that a backend server is to hold. It releases every key that is not listed, so each
 * reply that grants anything must list every key that the backend server is to keep.
 */
struct GrantReply {
    std::vector<GrantedKeys> rows;
    milliseconds hold{0};     ///< Counted from the sending of the heartbeat that is answered.
    size_t omittedRanges = 0; ///< Ranges that did not fit into the reply; not served until a later
                              ///< reply has room for them.
};

} // namespace wisteriahoist
