/** @file loss_confirmer.h Stores an operator's confirmation that VMs are permanently lost. */

#pragma once

#include "core/id_type.h"
#include "port/platform_store.h"

#include <string>

namespace wisteriahoist {

/**
 * Writes a cell's loss confirmation to the platform. With it, a coordinator closes rosters of
 * which more than half never answered. A wrong confirmation lets a partitioned owner serve at the
 * same time as its successor, so it names its author and the term, and the stored term never
 * decreases.
 */
class LossConfirmer
{
public:
    /** @param object Name of the cell's confirmation in the platform. */
    LossConfirmer(PlatformStore &platform, std::string object)
        : platform_(platform), object_(std::move(object))
    { }

    /**
     * Confirms that all members that have not acknowledged a term above @p term are lost.
     * @param known The term that this node knows; @p term must not be above it.
     * @return The confirmed term; BadArgument, or the failure of the platform.
     */
    PlatformStore::Pending<Term> confirm(Term term, Term known, std::string confirmedBy);

private:
    PlatformStore &platform_;
    std::string object_;
};

} // namespace wisteriahoist
