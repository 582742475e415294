/** @file slice_table_func.h Operations that derive a changed slice table. */

#pragma once

#include "core/failure_type.h"
#include "decision/routing/slice_table.h"

namespace wisteriahoist {

/** Splits the range that contains @p at at this point; both parts keep owner and epoch.
 *  @return BadArgument if a range already begins at @p at or the table is empty. */
Result<SliceTable> splitSlice(const SliceTable &table, KeyHash at);

/** Merges the range that begins at @p first into the preceding one. The result has the higher of
 *  the two epochs: so a grant with the lower epoch is rejected as older, and not the reverse.
 *  @return NotFound if no range begins there, BadArgument if it is the first or owners differ. */
Result<SliceTable> mergeSlice(const SliceTable &table, KeyHash first);

/** Splits so that @p hash gets its own range. @return The table unchanged if it already has one. */
Result<SliceTable> isolateKey(const SliceTable &table, KeyHash hash);

/** Assigns the range that begins at @p first to @p owner.
 *  @return NotFound if no range begins there, BadArgument if @p epoch is not above its epoch. */
Result<SliceTable> moveSlice(const SliceTable &table, KeyHash first, NodeId owner, Epoch epoch);

} // namespace wisteriahoist
