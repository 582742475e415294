/** @file grant_authority_test.cpp Leases, witnesses and takeovers: which node may grant, and when
 * another node may take over. */

#include "decision/range/grant_authority.h"
#include "support/test_section.h"

#include <random>

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const NodeId Holder{1};
const NodeId FirstWitness{2};
const NodeId SecondWitness{3};
const std::set<NodeId> Both{FirstWitness, SecondWitness};
constexpr Incarnation Life{10};

GrantAuthority makeAuthority()
{
    return {StoreLeaseTimes{}, WitnessTimes{}};
}

/** Obtains the lease, then contact, then the renewal that new contact requires. */
GrantAuthority makeValid()
{
    GrantAuthority authority = makeAuthority();
    authority.onRenewed(Both, Start);
    authority.onAcknowledged(FirstWitness, Start, Start);
    authority.onRenewed(Both, Start + milliseconds(1));
    return authority;
}

} // namespace

Test(grant_authority, needs_lease_and_contact)
{
    GrantAuthority authority = makeAuthority();
    SECTION("a lease that names no witnesses is sufficient by itself")
    {
        authority.onRenewed({}, Start);
        cr_assert(authority.validUntil() == Start + StoreLeaseTimes{}.term);
    }
    SECTION("a lease with witnesses needs an acknowledgement and a later renewal")
    {
        authority.onRenewed(Both, Start);
        cr_assert(authority.validUntil() <= Start);
        authority.onAcknowledged(SecondWitness, Start, Start + milliseconds(2));
        cr_assert(authority.needsRenewal(Start + milliseconds(2)));
        cr_assert(authority.validUntil() <= Start);
        authority.onRenewed(Both, Start + milliseconds(3));
        cr_assert(authority.validUntil() == Start + WitnessTimes{}.term);
    }
    SECTION("an acknowledgement counts from the sending of its heartbeat")
    {
        GrantAuthority valid = makeValid();
        valid.onAcknowledged(FirstWitness, Start + milliseconds(400), Start + milliseconds(900));
        cr_assert(valid.validUntil() == Start + milliseconds(400) + WitnessTimes{}.term);
    }
    SECTION("a node that the lease does not name is no witness")
    {
        GrantAuthority valid = makeValid();
        valid.onAcknowledged(NodeId(9), Start + milliseconds(400), Start + milliseconds(400));
        cr_assert(valid.validUntil() == Start + WitnessTimes{}.term);
    }
}

// Guards against two backend servers holding one key. The holder names a different witness;
// another node has read the old list and fences the old witness, while the new witness still
// acknowledges heartbeats. Until the store has accepted the new list, only a witness on both lists
// counts.
Test(grant_authority, new_witness_counts_once_the_lease_names_it)
{
    GrantAuthority authority = makeValid();
    const std::set<NodeId> changed{SecondWitness, NodeId(4)};
    authority.onRenewalSent(changed);
    const TimePoint later = Start + milliseconds(500);
    authority.onAcknowledged(NodeId(4), later, later);
    authority.onAcknowledged(FirstWitness, later, later);
    cr_assert(authority.validUntil() == Start + WitnessTimes{}.term);
    authority.onAcknowledged(SecondWitness, later, later);
    cr_assert(authority.validUntil() == later + WitnessTimes{}.term);
    SECTION("the new witness counts after the renewal")
    {
        authority.onRenewed(changed, later);
        authority.onAcknowledged(NodeId(4), later + milliseconds(400), later + milliseconds(400));
        cr_assert(authority.validUntil() == later + milliseconds(400) + WitnessTimes{}.term);
    }
}

// Guards against two backend servers holding one key. A node that reached no other node has a
// lease without witnesses, which counts for its whole term. Its next renewal names witnesses and
// is accepted, but the answer is lost. Another node reads the renewed lease, fences the witnesses,
// waits for the contact term and revokes the lease, while the holder still relies on the lease
// alone.
Test(grant_authority, renewal_that_may_name_witnesses_requires_contact)
{
    GrantAuthority authority = makeAuthority();
    cr_assert(authority.lease().beginRenewal(Start));
    authority.onRenewed({}, Start);
    const TimePoint sent = Start + StoreLeaseTimes{}.renewInterval;
    cr_assert(authority.lease().beginRenewal(sent));
    authority.onRenewalSent(Both);
    authority.lease().onFailed();
    cr_assert(authority.validUntil() == sent + WitnessTimes{}.term);
    SECTION("an acknowledgement by a witness that may be named extends the authority")
    {
        const TimePoint heard = sent + milliseconds(400);
        authority.onAcknowledged(FirstWitness, heard, heard);
        cr_assert(authority.validUntil() == heard + WitnessTimes{}.term);
    }
    SECTION("after an accepted renewal without witnesses the lease alone counts again")
    {
        const TimePoint later = sent + milliseconds(500);
        authority.onRenewed({}, later);
        cr_assert(authority.validUntil() == later + StoreLeaseTimes{}.term);
    }
}

// Guards against two backend servers holding one key. The holder is cut off and fenced at its
// witness, its contact expires, and another node is about to revoke the lease. The witness
// restarts, loses its fence and acknowledges heartbeats again. Only a renewal sent after that
// allows the holder to grant again; that renewal and the revocation of the earlier revision
// exclude each other.
Test(grant_authority, resumed_contact_requires_a_renewal)
{
    GrantAuthority authority = makeValid();
    const TimePoint expired = Start + WitnessTimes{}.term + milliseconds(100);
    authority.onRenewed(Both, expired); // Only the lease was renewed in the meantime.
    const TimePoint back = expired + milliseconds(100);
    authority.onAcknowledged(FirstWitness, back, back);
    cr_assert(authority.validUntil() <= back);
    cr_assert(authority.needsRenewal(back));
    authority.onRenewed(Both, back + milliseconds(1));
    cr_assert(authority.validUntil() > back);
}

Test(heartbeat_witness, fences_only_silent_incarnations)
{
    HeartbeatWitness witness{WitnessTimes{}};
    cr_assert(witness.onHeartbeat(Holder, Life, Start));
    SECTION("refuses to fence a node just heard from: only the other node has lost contact")
    {
        cr_assert(!witness.onFence(Holder, Life, Start + milliseconds(300)));
        cr_assert(witness.onHeartbeat(Holder, Life, Start + milliseconds(400)));
    }
    SECTION("fences a silent node permanently")
    {
        cr_assert(witness.onFence(Holder, Life, Start + milliseconds(1200)));
        cr_assert(!witness.onHeartbeat(Holder, Life, Start + milliseconds(1300)));
        cr_assert(witness.onFence(Holder, Life, Start + milliseconds(1400)));
    }
    SECTION("does not fence the next incarnation of a fenced node")
    {
        cr_assert(witness.onFence(Holder, Life, Start + milliseconds(1200)));
        cr_assert(witness.onHeartbeat(Holder, Incarnation(11), Start + milliseconds(1300)));
    }
}

Test(takeover, waits_for_every_witness)
{
    Takeover takeover(WitnessTimes{}, Life, {FirstWitness, SecondWitness});
    // The term on a clock that runs 2% slow, plus 200 ms for a last grant in flight.
    constexpr milliseconds Wait
            = WitnessTimes{}.term + WitnessTimes{}.term / 50 + milliseconds(200);
    const TimePoint due = Start + Wait;
    takeover.onFenced(FirstWitness, Incarnation(1), Start);
    cr_assert(!takeover.isDue(due));
    takeover.onFenced(SecondWitness, Incarnation(1), Start);
    cr_assert(!takeover.isDue(Start + WitnessTimes{}.term));
    cr_assert(takeover.isDue(due));
    SECTION("the waiting time starts again if a witness has restarted and lost its fence")
    {
        takeover.onFenced(SecondWitness, Incarnation(2), due);
        cr_assert(!takeover.isDue(due));
        cr_assert(takeover.isDue(due + Wait));
    }
    SECTION("without witnesses a takeover by fencing never becomes due")
    {
        cr_assert(!Takeover(WitnessTimes{}, Life, {}).isDue(due));
    }
}

namespace {

/**
 * A holder, two witnesses, a node that takes over and the revision of the lease, driven by random
 * steps. The revocation may be applied late; it takes effect only if the lease still has the
 * revision that was read.
 */
class TakeoverModel
{
public:
    explicit TakeoverModel(uint64_t seed) : random_(seed) { renew(); }

    /**
     * @return false if the holder could grant after the revocation without having been notified of
     *         it.
     */
    bool run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            now_ += milliseconds(draw(6) * 100);
            act();
            if (revoked_ && !notified_ && authority_.validUntil() > now_) {
                return false;
            }
        }
        return true;
    }

    bool hasRevoked() const { return revoked_; }

private:
    uint64_t draw(uint64_t bound) { return random_() % bound; }

    void act()
    {
        const uint64_t action = draw(16);
        if (action < 2) {
            heartbeat(action);
        } else if (action < 3) {
            renew();
        } else if (action < 13) {
            take();
        } else if (action < 15) {
            deliver();
        } else {
            restart(draw(2));
        }
    }

    void heartbeat(size_t witness)
    {
        if (witnesses_[witness].onHeartbeat(Holder, Life, now_)) {
            authority_.onAcknowledged(NodeId(2 + witness), now_, now_);
        }
    }

    void renew()
    {
        if (revoked_) {
            authority_.onRevoked();
            notified_ = true;
            return;
        }
        ++revision_;
        authority_.onRenewed(Both, now_);
    }

    void take()
    {
        const uint64_t read = revision_;
        for (size_t witness = 0; witness < 2; ++witness) {
            if (!witnesses_[witness].onFence(Holder, Life, now_)) {
                takeover_ = makeTakeover();
                return;
            }
            takeover_.onFenced(NodeId(2 + witness), lives_[witness], now_);
        }
        if (takeover_.isDue(now_)) {
            sent_ = read;
        }
    }

    void deliver()
    {
        revoked_ |= sent_ != 0 && sent_ == revision_;
        sent_ = 0;
    }

    void restart(size_t witness)
    {
        witnesses_[witness] = HeartbeatWitness(WitnessTimes{});
        lives_[witness] = lives_[witness].next();
    }

    static Takeover makeTakeover() { return {WitnessTimes{}, Life, {FirstWitness, SecondWitness}}; }

    std::mt19937_64 random_;
    TimePoint now_ = Start;
    GrantAuthority authority_ = makeAuthority();
    std::vector<HeartbeatWitness> witnesses_{HeartbeatWitness{WitnessTimes{}},
                                             HeartbeatWitness{WitnessTimes{}}};
    std::vector<Incarnation> lives_{Incarnation(1), Incarnation(1)};
    Takeover takeover_ = makeTakeover();
    uint64_t revision_ = 0;
    uint64_t sent_ = 0; ///< Revision that the revocation in flight depends on; 0: none in flight.
    bool revoked_ = false;
    bool notified_ = false;
};

} // namespace

// Depends on three rules; the test failed with any one of them removed: the renewal after contact
// has resumed, the incarnation of the witness in a fence, and the final confirmation of all
// fences.
Test(takeover, revoked_holder_never_keeps_authority)
{
    int revocations = 0;
    for (uint64_t seed = 1; seed <= 20000; ++seed) {
        TakeoverModel model(seed);
        cr_assert(model.run(60), "seed %lu", seed);
        revocations += model.hasRevoked() ? 1 : 0;
    }
    cr_assert(revocations > 1000, "too few revocations to be meaningful: %d", revocations);
}
