/** @file fleet_authenticator_test.cpp Unknown and withdrawn keys, and replays, are rejected. */

#include "adapter/auth/fleet_authenticator.h"

#include "adapter/auth/peer_hello.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

const WallTime Now{milliseconds(1700000000000)};

FleetKey makeKey(const std::string &id, char letter)
{
    return {id, std::string(FleetSecretBytes, letter)};
}

SignedCall makeCall(std::string_view body)
{
    return {"POST", "/wisteriahoist.v1.OperatorService/Apply", "10.0.0.1:7000", body};
}

bool isRefused(const Result<void> &result, std::string_view reason)
{
    return !result && result.assume_error().context == reason;
}

/** Runs a complete handshake. @return Whether both sides accepted each other. */
bool handshake(const FleetKeys &callerKeys, HelloListener &listener)
{
    HelloCaller caller(callerKeys);
    const Result<std::string> proof = caller.onHelloReply(listener.onHello(caller.makeHello()));
    return proof && HelloCaller::onProofReply(listener.onProof(proof.assume_value()))
           && listener.isAuthenticated();
}

} // namespace

Test(auth_call, accepted_and_rejected)
{
    const FleetKeys keys{{makeKey("k1", 'a')}};
    CallVerifier verifier(keys, ReplayBounds());
    const std::string signature = signCall(keys, makeCall("body"), Now);
    SECTION("a signed call is accepted")
    {
        cr_assert(verifier.verify(makeCall("body"), signature, Now));
    }
    SECTION("a call modified in transit is rejected")
    {
        SignedCall other = makeCall("body");
        other.audience = "10.0.0.2:7000";
        cr_assert(isRefused(verifier.verify(other, signature, Now), "wrong-signature"));
        cr_assert(isRefused(verifier.verify(makeCall("Body"), signature, Now), "wrong-signature"));
    }
    SECTION("missing and incomplete signatures and invalid times are rejected")
    {
        cr_assert(isRefused(verifier.verify(makeCall("body"), "", Now), "missing"));
        cr_assert(isRefused(verifier.verify(makeCall("body"), "v1 k1 5", Now), "malformed"));
        cr_assert(isRefused(verifier.verify(makeCall("body"), "v1 k1 -5 1 aa", Now), "malformed"));
        cr_assert(isRefused(verifier.verify(makeCall("body"), "v1 k1 5 1 xyz", Now), "malformed"));
        cr_assert(verifier.counters().countOf(AuthRefusal::Malformed) == 3);
    }
}

// Guards against replayed calls. An attacker records an apply and sends it again, either
// immediately or a minute later; if it were accepted, outdated rules would become effective again.
// An early copy is detected by its nonce, a late one by its time. Both are rejected and counted.
Test(auth_call, replayed)
{
    const FleetKeys keys{{makeKey("k1", 'a')}};
    CallVerifier verifier(keys, ReplayBounds());
    const std::string signature = signCall(keys, makeCall("body"), Now);
    cr_assert(verifier.verify(makeCall("body"), signature, Now));
    cr_assert(isRefused(verifier.verify(makeCall("body"), signature, Now + milliseconds(30000)),
                        "replayed"));
    cr_assert(isRefused(verifier.verify(makeCall("body"), signature, Now + milliseconds(30001)),
                        "skewed"));
    cr_assert(isRefused(verifier.verify(makeCall("body"), signature, Now - milliseconds(30001)),
                        "skewed"));
    cr_assert(verifier.counters().countOf(AuthRefusal::Replayed) == 1);
    cr_assert(verifier.counters().countOf(AuthRefusal::Skewed) == 2);
}

// Key rotation from k1 to k2: first every node lists both, then k2 comes first, then k1 is removed.
// No call is rejected meanwhile. Afterwards calls signed with k1, or with another secret under the
// id k2, are rejected.
Test(auth_call, rotation)
{
    const FleetKeys before{{makeKey("k1", 'a')}};
    const FleetKeys during{{makeKey("k2", 'b'), makeKey("k1", 'a')}};
    const FleetKeys after{{makeKey("k2", 'b')}};
    CallVerifier verifier(during, ReplayBounds());
    cr_assert(verifier.verify(makeCall("1"), signCall(before, makeCall("1"), Now), Now));
    cr_assert(verifier.verify(makeCall("2"), signCall(during, makeCall("2"), Now), Now));
    CallVerifier rotated(after, ReplayBounds());
    cr_assert(rotated.verify(makeCall("3"), signCall(during, makeCall("3"), Now), Now));
    cr_assert(isRefused(rotated.verify(makeCall("4"), signCall(before, makeCall("4"), Now), Now),
                        "unknown-key"));
    const FleetKeys stranger{{makeKey("k2", 'x')}};
    cr_assert(isRefused(rotated.verify(makeCall("5"), signCall(stranger, makeCall("5"), Now), Now),
                        "wrong-signature"));
}

Test(auth_call, bounded_memory)
{
    ReplayBounds bounds;
    bounds.remembered = 2;
    ReplayGuard guard(bounds);
    cr_assert(guard.check(Now, CallNonce(1), Now) == ReplayVerdict::Fresh);
    cr_assert(guard.check(Now, CallNonce(2), Now) == ReplayVerdict::Fresh);
    cr_assert(guard.check(Now, CallNonce(3), Now) == ReplayVerdict::Full);
    const WallTime later = Now + bounds.skew + milliseconds(1);
    cr_assert(guard.check(later, CallNonce(3), later) == ReplayVerdict::Fresh);
    cr_assert(guard.rememberedCount() == 1);
}

// Guards against processes outside the fleet, nodes with a withdrawn key, and replayed handshakes:
// accepted as members, they could request leases. Each connection has its own challenge, so none of
// them completes the handshake.
Test(auth_hello, unknown_keys_withdrawn_keys_and_replays)
{
    const FleetKeys keys{{makeKey("k2", 'b'), makeKey("k3", 'c')}};
    AuthCounters counters;
    HelloListener listener(keys, counters);
    SECTION("a node of the fleet is accepted with any of the keys")
    {
        cr_assert(handshake(keys, listener));
        HelloListener another(keys, counters);
        cr_assert(handshake({{makeKey("k3", 'c')}}, another));
    }
    SECTION("a withdrawn key and a wrong secret are rejected on both sides")
    {
        HelloListener fresh(keys, counters);
        cr_assert(!handshake({{makeKey("k1", 'a')}}, fresh));
        cr_assert(counters.countOf(AuthRefusal::UnknownKey) == 1);
        HelloCaller caller({{makeKey("k2", 'x')}});
        const auto proof = caller.onHelloReply(fresh.onHello(caller.makeHello()));
        cr_assert(proof.assume_error().code == FailureCode::Unauthorized);
    }
    SECTION("a recorded handshake is rejected on another connection")
    {
        HelloListener first(keys, counters);
        HelloCaller caller(keys);
        const std::string hello = caller.makeHello();
        const auto proof = caller.onHelloReply(first.onHello(hello));
        cr_assert(HelloCaller::onProofReply(first.onProof(proof.assume_value())));
        HelloListener second(keys, counters);
        (void)second.onHello(hello);
        (void)second.onProof(proof.assume_value());
        cr_assert(!second.isAuthenticated());
        cr_assert(counters.countOf(AuthRefusal::WrongSignature) == 1);
        SECTION("the proof alone, or a second time, is rejected")
        {
            (void)second.onProof(proof.assume_value());
            cr_assert(!second.isAuthenticated());
        }
    }
}

Test(auth_key, hexadecimal)
{
    cr_assert(*fromHex(toHex("\x01\xff")) == "\x01\xff");
    cr_assert(!fromHex("abc"));
    cr_assert(!fromHex("zz"));
    // RFC 4231, test case 2.
    cr_assert(toHex(computeMac({"k", "Jefe"}, "what do ya want for nothing?"))
              == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}
