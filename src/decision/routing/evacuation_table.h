/** @file evacuation_table.h Failure domains to whose backend servers nothing may be sent at
 * present.
 */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <string>

namespace wisteriahoist {

/** What a node may send to the backend server beside it. */
enum class EvacuationPhase {
    None,    ///< Everything: its failure domain is not evacuated.
    Leaving, ///< Requests for keys that it still holds, while these move to other failure domains.
    Closed,  ///< Nothing.
};

/** An evacuation in force. */
struct Evacuation {
    uint64_t revision = 0;       ///< Revision of the store at which it is known to be in force.
    TimePoint since = NeverTime; ///< When this node heard of it.
    bool announced = false;      ///< It came as a change; otherwise it may have begun long before.
};

/**
 * The evacuations that operators have requested, in the order of the store's revisions: a listing
 * or change that is older than what is known is ignored. A failure domain without any node may be
 * named as well; that has no effect.
 */
class EvacuationTable
{
public:
    /**
     * @param isAwaited Evacuations are in use: until the first listing this node doesn't know
     *        whether its own failure domain is evacuated, and counts as closed.
     */
    explicit EvacuationTable(bool isAwaited = false) : isKnown_(!isAwaited) { }

    /** Applies all evacuations in force at revision @p at: names and the revisions of the records.
     *  @return Whether anything changed. */
    bool onListing(const std::map<std::string, uint64_t> &domains, uint64_t at, TimePoint now);

    /** @p domain is evacuated, or no longer if @p removed, as of revision @p at.
     *  @return Whether anything changed. */
    bool onChange(const std::string &domain, bool removed, uint64_t at, TimePoint now);

    /** @return What may be sent to the backend servers of @p domain by the node beside them.
     *  @param leavingTime How long keys may be served there after an evacuation was announced. */
    EvacuationPhase phaseOf(const std::string &domain, milliseconds leavingTime,
                            TimePoint now) const;

    bool isEvacuated(const std::string &domain) const { return domains_.count(domain) > 0; }
    bool isKnown() const { return isKnown_; }

    /** @return A counter of changes. */
    uint64_t changes() const { return changes_; }

    /** @return The latest revision of the store that was applied; 0: none. */
    uint64_t revision() const { return at_; }

    /** @return The names of the evacuated failure domains, separated by spaces. */
    std::string text() const;

    /** @return The evacuations in force, by failure domain. */
    const std::map<std::string, Evacuation> &domains() const { return domains_; }

private:
    bool isKnown_;
    uint64_t changes_ = 0;
    uint64_t at_ = 0; ///< Latest revision that was applied.
    std::map<std::string, Evacuation> domains_;
};

} // namespace wisteriahoist
