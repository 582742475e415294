/** @file revision_exchange.h Interface: exchange of the latest known store revisions between nodes.
 */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "port/record_store.h"

#include <map>
#include <string_view>

namespace wisteriahoist {

/** The latest revision of each watched record kind that a node knows. */
using KnownRevisions = std::map<RecordKind, StoreRevision>;

/** How a node came by the configuration that it has in force. */
struct ConfigStatus {
    std::string_view source;     ///< "list", "watch", "feeder" or "peer"; empty: none is in force.
    StoreRevision record;        ///< Revision of the configuration's record.
    StoreRevision position;      ///< Revision up to which this node has watched the configuration.
    milliseconds unconfirmed{0}; ///< Since the store had nothing newer.
    milliseconds inForce{0};     ///< Since this node applied it.
    bool behind = false;         ///< Another node has named a newer one, which is not here yet.
};

/** Compares the store revisions known to this node and to a peer whenever the two communicate. */
class RevisionExchange
{
public:
    virtual ~RevisionExchange() = default;

    /** @return The latest revisions that this node knows, to be sent to a peer. */
    virtual KnownRevisions news() const = 0;

    virtual ConfigStatus configStatus(TimePoint now) const = 0;

    /** Handles the revisions received from @p peer, which may be ahead of this node's. */
    virtual void onPeerRevisions(NodeId peer, const KnownRevisions &revisions, TimePoint now) = 0;
};

} // namespace wisteriahoist
