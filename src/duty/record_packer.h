/** @file record_packer.h Large records between nodes: what has changed, compressed. */

#pragma once

#include "core/failure_type.h"
#include "port/record_store.h"
#include "wisteriahoist/v1/control.pb.h"

#include <deque>
#include <map>

namespace wisteriahoist {

/**
 * Encodes records for nodes that have an earlier state of them, and decodes them. A configuration
 * of 850 KB whose changes are sent whole fills a link of 10 Mbit/s for most of a second, at every
 * change. Used by one thread.
 */
class RecordPacker
{
public:
    /** Keeps @p record as a base of later ones, if it is large and newer than those kept. */
    void remember(const StoredRecord &record);

    /** @return Revision of the newest record whose content is kept; 0: of none. */
    StoreRevision held() const;

    /** Encodes @p record for a node that has the content of revision @p held (0: of none). */
    void pack(const StoredRecord &record, StoreRevision held, v1::StoreRecord &packed);

    /** Decodes a record, packed or not. @return Unavailable if its base is not kept here. */
    Result<StoredRecord> unpack(const v1::StoreRecord &packed) const;

private:
    const StoredRecord *findKept(StoreRevision revision) const;

    std::deque<StoredRecord> kept_; ///< Newest last.
    StoreRevision cached_;          ///< Revision of the record that packed_ encodes.
    std::map<StoreRevision, v1::StoreRecord> packed_; ///< By the base; bases that nodes have held.
};

} // namespace wisteriahoist
