/** @file json_text.h Boost.JSON for tests; stands before story.h, whose macros break its headers.
 */

#pragma once

#include <boost/json.hpp>
