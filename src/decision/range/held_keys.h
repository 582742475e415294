/** @file held_keys.h What a backend server says it holds, and what it is told to hold. */

#pragma once

#include "decision/range/range_type.h"

namespace wisteriahoist {

/** Keys that a backend server holds, or still works on. */
struct HeldKeys {
    KeySpan span;
    Epoch fence;
    bool operator==(const HeldKeys &) const = default;
};

/** Keys that it has released, with the token that spares the next holder the warm-up. */
struct ReleasedKeys {
    KeySpan span;
    std::string handover;
    bool operator==(const ReleasedKeys &) const = default;
};

/** The part of a heartbeat that speaks of keys. */
struct HeldKeysReport {
    std::vector<HeldKeys> holds;
    std::vector<ReleasedKeys> released; ///< Since the last heartbeat that was acknowledged.
    uint64_t sequence = 0;              ///< Of the heartbeat, within the life that sent it.
    bool operator==(const HeldKeysReport &) const = default;
};

/** Keys that the answer to a heartbeat grants. */
struct GrantedKeys {
    KeySpan span;
    Epoch fence;
    std::string handover; ///< Empty: none, or not needed any more.
    bool operator==(const GrantedKeys &) const = default;
};

/**
 * All that a backend server is to hold. What is left out is released; a key that it must keep has
 * to be in each answer that grants anything.
 */
struct GrantReply {
    std::vector<GrantedKeys> rows;
    milliseconds hold{0}; ///< From the sending of the heartbeat that it answers.
    size_t leftOut
            = 0; ///< Ranges for which an answer has no room; nobody serves them until it has.
};

} // namespace wisteriahoist
