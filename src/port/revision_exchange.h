/** @file revision_exchange.h Port: what this node knows of the store, and what others know of it.
 */

#pragma once

#include "core/time_type.h"
#include "port/record_store.h"

#include <map>

namespace wisteriahoist {

/** The newest change of each watched kind that a node has heard of. */
using KnownRevisions = std::map<RecordKind, StoreRevision>;

/** Compares what two nodes have heard of the store whenever they talk. */
class RevisionExchange
{
public:
    virtual ~RevisionExchange() = default;

    virtual KnownRevisions news() const = 0;
    virtual void onPeerRevisions(const KnownRevisions &news, TimePoint now) = 0;
};

} // namespace wisteriahoist
