/** @file model_type.h The protocol's steps, the faults, and what the ownership model finds. */

#pragma once

#include "decision/ownership/ownership_type.h"

#include <array>
#include <string_view>

namespace wisteriahoist {

/** Each message or call of the ownership protocol, by what it carries. */
enum class ProtocolStep {
    ReadTerm,
    WriteCampaign,    ///< A candidate moves the term object to the next term.
    ReadCampaignBack, ///< Its reply was lost.
    ReadAssignment,   ///< A new coordinator reads what is stored.
    WriteFence,       ///< It rewrites the assignment with its own term.
    FirstAcknowledge, ///< A member's first renewal under a term.
    FirstHeartbeat,   ///< The answer, without a lease.
    RequestLease,     ///< A renewal that echoes a heartbeat.
    GrantLease,       ///< The answer with a lease.
    Revoke,           ///< An answer that takes ranges away.
    Drain,            ///< The gate's work on a revoked range ends.
    Relinquish,       ///< A renewal that reports drained ranges.
    WriteMove,        ///< The assignment with new owners.
    TellAssignment,   ///< An answer that carries a newer assignment.
    WriteRoster,      ///< Members join or leave.
    CloseRoster,      ///< Rosters that are outwaited leave the term object.
    ReadBack,         ///< A coordinator's write had no reply.
    WatchTerm,        ///< A coordinator learns of a later term.
    Count,
};

/** The faults of the brief. */
enum class FaultKind {
    Crash,            ///< The sender's process ends after sending; it returns as a new life.
    CrashReceiver,    ///< The receiver's.
    PauseSender,      ///< The sender stops between its last clock reading and sending.
    PauseReceiver,    ///< The receiver stops and returns as though nothing had happened.
    PartitionOutward, ///< Nothing that the sender sends to other nodes arrives.
    PartitionInward,  ///< Nothing that other nodes send to it arrives.
    PartitionBoth,    ///< Both, the platform included.
    LoseMessage,
    DelayMessage,     ///< By more than a lease.
    DuplicateMessage, ///< It arrives again, more than a lease later.
    ReorderMessage,   ///< Later ones overtake it.
    PlatformDown,
    PlatformSlow,
    LoseReply,        ///< The call took effect; its answer is lost.
    OperatorConflict, ///< Two operators declare, drain and undrain at once.
    SilentConnection, ///< Sender and receiver no longer hear each other; all others do.
    Count,
};

inline constexpr size_t ProtocolStepCount = static_cast<size_t>(ProtocolStep::Count);
inline constexpr size_t FaultKindCount = static_cast<size_t>(FaultKind::Count);

/** What the model checks after each event. */
struct ModelFindings {
    uint64_t twoOwners = 0;      ///< Moments with two nodes that admit or run the same key.
    uint64_t epochFalls = 0;     ///< An epoch admitted after a higher one.
    uint64_t untoldLost = 0;     ///< An owner admits under an epoch that the platform lacks.
    uint64_t unserved = 0;       ///< Points without an owner at the end.
    uint64_t terms = 0;          ///< Terms used.
    Duration longestUnserved{0}; ///< Of any one point, after the start.
    std::array<uint64_t, ProtocolStepCount> steps{}; ///< How often each step was taken.

    uint64_t violations() const { return twoOwners + epochFalls + untoldLost + unserved; }
};

std::string_view stepName(ProtocolStep step);
std::string_view faultName(FaultKind fault);

} // namespace wisteriahoist
