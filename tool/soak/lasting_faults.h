/** @file lasting_faults.h Faults that are a state: in force from their begin to their end. */

#pragma once

#include "soak/fault_plan.h"
#include "soak/soak_callers.h"
#include "soak/soak_fleet.h"

#include <map>

namespace wisteriahoist::soak {

/** Puts lasting faults in force and ends them; several of one kind may overlap at one place. */
class LastingFaults
{
public:
    LastingFaults(SoakFleet &fleet, platform::ObjectStoreStandin &store, SoakCallers &callers)
        : fleet_(fleet), store_(store), callers_(callers)
    { }

    /** Kinds that are no state change nothing. */
    void begin(const Fault &fault);
    void end(const Fault &fault);

private:
    size_t &countOf(const Fault &fault);
    void apply(const Fault &fault, bool on);
    void applyToBackend(const Fault &fault, bool on);
    void applyToStore(const Fault &fault, bool on);
    void applyToLinks(const Fault &fault, bool on);

    SoakFleet &fleet_;
    platform::ObjectStoreStandin &store_;
    SoakCallers &callers_;
    std::map<std::pair<FaultKind, size_t>, size_t> inForce_; ///< How many, by kind and place.
};

} // namespace wisteriahoist::soak
