/** @file fault_cell.h One cell of the fault matrix: faults at steps, and a run that takes them all.
 */

#pragma once

#include "fault_matrix/ownership_model.h"

namespace wisteriahoist {

/** A fault at the n-th time that a step is taken once the faults are armed. */
struct FaultPlan {
    ProtocolStep step = ProtocolStep::ReadTerm;
    FaultKind fault = FaultKind::Crash;
    uint64_t occurrence = 1;
};

/** Strikes as planned. */
class PlannedFaults : public FaultInjector
{
public:
    explicit PlannedFaults(std::vector<FaultPlan> plans) : plans_(std::move(plans)) { }

    void onTransmission(OwnershipModel &model, Transmission &transmission) override;
    /** @return How many of the plans struck. */
    uint64_t struck() const { return struck_; }

private:
    std::vector<FaultPlan> plans_;
    std::array<uint64_t, ProtocolStepCount> taken_{}; ///< Since the faults were armed.
    uint64_t struck_ = 0;
};

/** Strikes at random, now and then, until faults end. */
class RandomFaults : public FaultInjector
{
public:
    RandomFaults(uint64_t seed, int oneIn) : random_(seed), oneIn_(oneIn) { }
    void onTransmission(OwnershipModel &model, Transmission &transmission) override;

private:
    std::mt19937_64 random_;
    int oneIn_; ///< One transmission in so many is struck.
};

/** Puts one fault on a transmission and its ends. */
void strike(OwnershipModel &model, Transmission &transmission, FaultKind fault);

/** @return Times at which a run of a few seconds passes through all that matters. */
OwnershipTimes makeModelTimes();

/**
 * The run of every cell: a start, a drain, a join, a loss of the coordinator and of a member, with
 * @p plans on top; then quiet, until all is served again.
 */
ModelFindings runCell(const ModelSettings &settings, const std::vector<FaultPlan> &plans,
                      uint64_t &struck);

/** What the exploration decides for one transmission. */
enum class ExploredOutcome { OnTime, Late, Lost, SenderPaused, Count };

inline constexpr size_t ExploredOutcomeCount = static_cast<size_t>(ExploredOutcome::Count);

/**
 * Decides the first transmissions after a moment one by one, as the digits of a number, so that
 * counting the number up goes through every combination. Steady renewals are left alone.
 */
class ExploredFaults : public FaultInjector
{
public:
    ExploredFaults(uint64_t choice, size_t depth, Duration from)
        : choice_(choice), left_(depth), from_(from)
    { }
    void onTransmission(OwnershipModel &model, Transmission &transmission) override;

private:
    uint64_t choice_;
    size_t left_; ///< Transmissions still to be decided.
    Duration from_;
};

/**
 * An election in a cell of three: its coordinator, which owns ranges, stops and returns; @p choice
 * decides the @p depth transmissions that follow, in base ExploredOutcomeCount.
 */
ModelFindings runElection(const ModelSettings &settings, uint64_t choice, size_t depth);

/** The same for a drain, with the moves that follow. */
ModelFindings runMove(const ModelSettings &settings, uint64_t choice, size_t depth);

/** A long run in which faults strike at random. */
ModelFindings runRandom(const ModelSettings &settings, int oneIn, Duration length);

} // namespace wisteriahoist
