/** @file fleet_authenticator.h Signs and checks calls, and the hello between two nodes. */

#pragma once

#include "adapter/auth/fleet_key.h"
#include "core/failure_type.h"
#include "decision/auth/replay_guard.h"

#include <array>
#include <atomic>

namespace wisteriahoist {

/** Header field that carries a call's signature. */
inline constexpr std::string_view SignatureHeader = "Wisteriahoist-Signature";

/** Why a credential was refused. */
enum class AuthRefusal {
    Missing,        ///< No signature, or a call before the hello.
    Malformed,      ///< Not in the form that sign() writes.
    UnknownKey,     ///< A stranger's key, or an old one after a rotation.
    WrongSignature, ///< Signed with another secret, or changed on its way.
    Skewed,         ///< The signer's clock is too far off, or the call was held back.
    Replayed,       ///< The call, or the answer to a challenge, was seen before.
    Full,           ///< Too many signed calls to remember; come back later.
};

inline constexpr size_t AuthRefusalCount = 7;

/** @return The stable name of @p refusal. */
std::string_view refusalName(AuthRefusal refusal);

/** What a call's signature covers. */
struct SignedCall {
    std::string_view method; ///< Of HTTP.
    std::string_view target; ///< Path and query.
    std::string audience;    ///< IP number and port of the node: no other one takes the call.
    std::string_view body;
};

/** Refusals by cause; read by any thread. */
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

/** Signs operators' calls. @pre @p keys is not empty. @return The header field's value. */
std::string signCall(const FleetKeys &keys, const SignedCall &call, WallTime now);

/** Checks operators' calls; one thread uses it. */
class CallVerifier
{
public:
    CallVerifier(FleetKeys keys, ReplayBounds bounds) : keys_(std::move(keys)), replay_(bounds) { }

    /** @return Unauthorized with the refusal's name; Overloaded if it is Full. */
    Result<void> verify(const SignedCall &call, std::string_view signature, WallTime now);

    /** @return Whether there is any key; without one nothing can be verified. */
    bool isEnabled() const { return !keys_.empty(); }

    const AuthCounters &counters() const { return counters_; }

private:
    Failure refuse(AuthRefusal refusal);

    FleetKeys keys_;
    ReplayGuard replay_;
    AuthCounters counters_;
};

} // namespace wisteriahoist
