/** @file test_section.h Nested sections for Criterion tests, so that a test reads as a story. */

#pragma once

#include <criterion/criterion.h>
#include <criterion/logging.h>

namespace wisteriahoist::testing {

/** One section; its text is logged (shown with --verbose, and after a failure). */
class Section
{
public:
    explicit Section(const char *text) { cr_log_info("%s", text); }
    explicit operator bool() const { return true; }
};

} // namespace wisteriahoist::testing

/** Opens a section: SECTION("when the lease lapses") { ... } */
#define SECTION(text) if (const wisteriahoist::testing::Section section_{text})
