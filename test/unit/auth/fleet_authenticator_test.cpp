/** @file fleet_authenticator_test.cpp Strangers, withdrawn keys and replays are refused. */

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

/** Runs a whole hello. @return Whether both sides took each other for nodes of the fleet. */
bool introduce(const FleetKeys &callerKeys, HelloListener &listener)
{
    HelloCaller caller(callerKeys);
    const Result<std::string> proof = caller.onHelloReply(listener.onHello(caller.makeHello()));
    return proof && HelloCaller::onProofReply(listener.onProof(proof.assume_value()))
           && listener.isProved();
}

} // namespace

Test(auth_call, accepted_and_refused)
{
    const FleetKeys keys{{makeKey("k1", 'a')}};
    CallVerifier verifier(keys, ReplayBounds());
    const std::string signature = signCall(keys, makeCall("body"), Now);
    SECTION("a signed call is accepted")
    {
        cr_assert(verifier.verify(makeCall("body"), signature, Now));
    }
    SECTION("any change on its way is refused")
    {
        SignedCall other = makeCall("body");
        other.audience = "10.0.0.2:7000";
        cr_assert(isRefused(verifier.verify(other, signature, Now), "wrong-signature"));
        cr_assert(isRefused(verifier.verify(makeCall("Body"), signature, Now), "wrong-signature"));
    }
    SECTION("no signature, half a signature, and a time that is no time are refused")
    {
        cr_assert(isRefused(verifier.verify(makeCall("body"), "", Now), "missing"));
        cr_assert(isRefused(verifier.verify(makeCall("body"), "v1 k1 5", Now), "malformed"));
        cr_assert(isRefused(verifier.verify(makeCall("body"), "v1 k1 -5 1 aa", Now), "malformed"));
        cr_assert(isRefused(verifier.verify(makeCall("body"), "v1 k1 5 1 xyz", Now), "malformed"));
        cr_assert(verifier.counters().countOf(AuthRefusal::Malformed) == 3);
    }
}

// Someone records an apply on its way and sends it again, at once or a minute later. Taken for the
// operator's, it would put older rules in force again. The first copy is known by its nonce, the
// later one by its time; both are refused and counted.
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

// The fleet goes from k1 to k2: first every node lists both, then k2 comes first, then k1 goes. No
// call is refused on the way; afterwards one signed with k1 is, and so is a stranger's key that
// goes by the name of k2.
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

// A stranger's process, and a node with a key that was withdrawn, connect to a node; another one
// plays back a hello that it has recorded. Taken for members, they could ask for leases. Each
// connection has its own challenge, so none of them gets past the hello.
Test(auth_hello, strangers_old_keys_and_replays)
{
    const FleetKeys keys{{makeKey("k2", 'b'), makeKey("k3", 'c')}};
    AuthCounters counters;
    HelloListener listener(keys, counters);
    SECTION("a node of the fleet is accepted, with any of the keys")
    {
        cr_assert(introduce(keys, listener));
        HelloListener another(keys, counters);
        cr_assert(introduce({{makeKey("k3", 'c')}}, another));
    }
    SECTION("an old key and a wrong secret are refused on both sides")
    {
        HelloListener fresh(keys, counters);
        cr_assert(!introduce({{makeKey("k1", 'a')}}, fresh));
        cr_assert(counters.countOf(AuthRefusal::UnknownKey) == 1);
        HelloCaller caller({{makeKey("k2", 'x')}});
        const auto proof = caller.onHelloReply(fresh.onHello(caller.makeHello()));
        cr_assert(proof.assume_error().code == FailureCode::Unauthorized);
    }
    SECTION("a recorded hello and proof are refused on another connection")
    {
        HelloListener first(keys, counters);
        HelloCaller caller(keys);
        const std::string hello = caller.makeHello();
        const auto proof = caller.onHelloReply(first.onHello(hello));
        cr_assert(HelloCaller::onProofReply(first.onProof(proof.assume_value())));
        HelloListener second(keys, counters);
        (void)second.onHello(hello);
        (void)second.onProof(proof.assume_value());
        cr_assert(!second.isProved());
        cr_assert(counters.countOf(AuthRefusal::WrongSignature) == 1);
        SECTION("and so is the proof alone, or a second time")
        {
            (void)second.onProof(proof.assume_value());
            cr_assert(!second.isProved());
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
