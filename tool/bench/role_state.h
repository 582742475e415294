/** @file role_state.h Heap and message bytes of what the roles keep and send. */

#pragma once

#include <string>

namespace wisteriahoist::bench {

/** Measures bytes for each range and each member, kept and encoded; writes CSV to @p folder. */
void measureRoleState(const std::string &folder);

} // namespace wisteriahoist::bench
