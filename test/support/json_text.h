/** @file json_text.h Boost.JSON for tests. Must be included before test_section.h, since the macros
 * of Criterion break the headers of Boost.JSON. */

#pragma once

#include <boost/json.hpp>
