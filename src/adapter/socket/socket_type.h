/** @file socket_type.h Constants of listening sockets. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** After an accept that has failed, as for lack of descriptors: what causes it may last, and the
 *  connection stays in the listen queue. */
inline constexpr milliseconds AcceptRetryPause{50};

} // namespace wisteriahoist
