/** @file range_block.h Stores the range table of a service in several records, so that changes to
 * distant keys do not conflict. */

#pragma once

#include "decision/range/range_type.h"

namespace wisteriahoist {

/**
 * The number of equal blocks of keys into which the range table of a service is divided. With one
 * block, the table is a single record that every change replaces. With more blocks, that record
 * keeps the initial division permanently, and each block that has changed since then has a record
 * of its own.
 *
 * The record of a block is replaced conditionally on its own revision, and keys never move to
 * another block. So fences increase for each key just as with a single record: every writer has
 * read the latest fence of every key that it writes.
 */
struct BlockLayout {
    uint32_t count = 1; ///< A power of two, so that all blocks have equal size.
    bool operator==(const BlockLayout &) const = default;

    KeySpan spanOf(uint32_t block) const;
};

/**
 * @return The layout for a service whose keys are divided among @p holders holders. Up to eight
 *         holders share one record. With 41 holders and one record, three of four writes (620 of
 *         817) were rejected because of a change elsewhere, moving keys waited a second or more,
 *         and every node read all 579 ranges again after each change. Four blocks per holder keep
 *         two changes apart most of the time, and a restarting node has only about five blocks to
 *         take over.
 */
BlockLayout chooseLayout(size_t holders);

/** @return Whether @p count is a valid number of blocks. */
bool isValidBlockCount(uint32_t count);

/** @return The ranges of @p table within @p span, clipped to @p span. */
RangeTable extractBlock(const RangeTable &table, const KeySpan &span);

/**
 * @return @p table with everything within @p span replaced by @p part.
 * @pre @p part begins at the first key of @p span.
 */
RangeTable replaceBlock(RangeTable table, const KeySpan &span, const RangeTable &part);

} // namespace wisteriahoist
