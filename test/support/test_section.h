/** @file test_section.h Nested sections with descriptions for Criterion tests. */

#pragma once

#include <criterion/criterion.h>
#include <criterion/logging.h>

namespace wisteriahoist::testing {

/** One section; logs its description, which is shown with --verbose and after a failure. */
class Section
{
public:
    explicit Section(const char *text) { cr_log_info("%s", text); }
    explicit operator bool() const { return true; }
};

} // namespace wisteriahoist::testing

/** Opens a section: SECTION("when the lease expires") { ... } */
#define SECTION(text) if (const wisteriahoist::testing::Section section_{text})
