/** @file ownership_measure.cpp Figures of the ownership decisions. */

#include "fault_matrix/ownership_measure.h"

namespace wisteriahoist {

int runMeasure()
{
    return 0;
}

} // namespace wisteriahoist
