/** @file ownership_measure.h Figures of the ownership decisions: time, bytes, calls, state. */

#pragma once

namespace wisteriahoist {

/** Prints the figures. @return The exit code. */
int runMeasure();

} // namespace wisteriahoist
