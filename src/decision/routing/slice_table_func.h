/** @file slice_table_func.h Changes of a slice table; each gives a new table. */

#pragma once

#include "core/failure_type.h"
#include "decision/routing/slice_table.h"

namespace wisteriahoist {

/** Cuts the range that holds @p at there; both parts keep owner and epoch.
 *  @return BadArgument if a range begins at @p at already or the table is empty. */
Result<SliceTable> splitSlice(const SliceTable &table, KeyHash at);

/** Joins the range that begins at @p first with the one before it. The result has the higher of
 *  the two epochs: the owner's grant under the lower one is refused as older, never the reverse.
 *  @return NotFound if no range begins there, BadArgument if it is the first or owners differ. */
Result<SliceTable> mergeSlice(const SliceTable &table, KeyHash first);

/** Cuts so that @p hash is a range of its own. @return The table as it is if it already is one. */
Result<SliceTable> isolateKey(const SliceTable &table, KeyHash hash);

/** Gives the range that begins at @p first to @p owner.
 *  @return NotFound if no range begins there, BadArgument if @p epoch is not above the present. */
Result<SliceTable> moveSlice(const SliceTable &table, KeyHash first, NodeId owner, Epoch epoch);

} // namespace wisteriahoist
