/** @file fleet_authenticator.h Signs and verifies operator calls; counts rejected credentials. */

#pragma once

#include "adapter/auth/fleet_key.h"
#include "core/failure_type.h"
#include "decision/auth/replay_guard.h"

#include <array>
#include <atomic>

namespace wisteriahoist {

/** Header field with a call's signature. */
inline constexpr std::string_view SignatureHeader = "Wisteriahoist-Signature";

/** Why a credential was rejected. */
enum class AuthRefusal {
    Missing,        ///< No signature, or a call before the handshake.
    Malformed,      ///< Not in the format that signCall() writes.
    UnknownKey,     ///< Not a key of the fleet, or withdrawn in a rotation.
    WrongSignature, ///< Signed with another secret, or modified in transit.
    Skewed,         ///< The signer's clock differs too much, or the call was delayed.
    Replayed,       ///< The call was received before.
    Full,           ///< The replay cache is full; retry later.
};

inline constexpr size_t AuthRefusalCount = 7;

/** @return The stable name of @p refusal, as used in metrics and errors. */
std::string_view refusalName(AuthRefusal refusal);

/** The parts of a call that its signature covers. */
struct SignedCall {
    std::string_view method; ///< HTTP method.
    std::string_view target; ///< Path and query.
    std::string audience;    ///< IP:PORT of the node; no other node accepts the call.
    std::string_view body;
};

/** Number of rejections by cause; may be read by any thread. */
class AuthCounters
{
public:
    void count(AuthRefusal refusal)
    {
        counts_[static_cast<size_t>(refusal)].fetch_add(1, std::memory_order_relaxed);
    }
    uint64_t countOf(AuthRefusal refusal) const
    {
        return counts_[static_cast<size_t>(refusal)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<uint64_t>, AuthRefusalCount> counts_{};
};

/**
 * Signs an operator's call. @pre @p keys is not empty.
 * @return The value of SignatureHeader.
 */
std::string signCall(const FleetKeys &keys, const SignedCall &call, WallTime now);

/** Verifies operators' calls; used by one thread only. */
class CallVerifier
{
public:
    CallVerifier(FleetKeys keys, ReplayBounds bounds) : keys_(std::move(keys)), replay_(bounds) { }

    /** @return Unauthorized with the name of the refusal; Overloaded if it is Full. */
    Result<void> verify(const SignedCall &call, std::string_view signature, WallTime now);

    /** @return Whether there are keys; without keys nothing can be verified. */
    bool isEnabled() const { return !keys_.empty(); }

    const AuthCounters &counters() const { return counters_; }

private:
    Failure refuse(AuthRefusal refusal);

    FleetKeys keys_;
    ReplayGuard replay_;
    AuthCounters counters_;
};

} // namespace wisteriahoist
