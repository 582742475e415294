/** @file loss_confirmer.h An operator's word that VMs are gone for good, kept in the platform. */

#pragma once

#include "core/id_type.h"
#include "port/platform_store.h"

#include <string>

namespace wisteriahoist {

/**
 * Writes a cell's loss confirmation. With it, a coordinator closes rosters of which more than half
 * never answered. A wrong word lets a partitioned owner serve beside its successor, so it names its
 * author and the term, and never falls behind what is stored.
 */
class LossConfirmer
{
public:
    /** @param object The name of the cell's confirmation in the platform. */
    LossConfirmer(PlatformStore &platform, std::string object)
        : platform_(platform), object_(std::move(object))
    { }

    /**
     * Confirms that whoever has not acknowledged a term above @p term is gone.
     * @param known The term that this node knows; @p term may not be above it.
     * @return The term that is confirmed now; BadArgument, or what the platform failed with.
     */
    PlatformStore::Pending<Term> confirm(Term term, Term known, std::string confirmedBy);

private:
    PlatformStore &platform_;
    std::string object_;
};

} // namespace wisteriahoist
