/** @file text_delta_test.cpp The difference between two versions of a configuration's text. */

#include "decision/config/text_delta.h"

#include "support/random_text.h"
#include "support/test_section.h"

#include <random>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr size_t MaxBytes = 1024 * 1024;

/** @return A text of routes with these names, in this order. */
std::string makeRoutes(const std::vector<uint32_t> &names)
{
    std::string text = R"({"routes":[)";
    for (const uint32_t name : names) {
        text += R"({"name":")" + makeRandomText(60, name) + R"("},)";
    }
    return text + "{}]}";
}

size_t newBytes(const std::vector<DeltaPart> &parts)
{
    size_t bytes = 0;
    for (const DeltaPart &part : parts) {
        bytes += part.text.size();
    }
    return bytes;
}

} // namespace

Test(text_delta, unchanged_routes_are_copied)
{
    const std::string base = makeRoutes({1, 2, 3, 4, 5});
    const auto bytesOf = [&](const std::vector<uint32_t> &names) {
        const std::string target = makeRoutes(names);
        const std::vector<DeltaPart> parts = makeDelta(base, target);
        cr_assert(applyDelta(base, parts, MaxBytes) == target);
        return newBytes(parts);
    };
    SECTION("nothing has changed")
    {
        cr_assert_eq(bytesOf({1, 2, 3, 4, 5}), 0U);
    }
    SECTION("routes added, removed, moved")
    {
        cr_assert_lt(bytesOf({1, 2, 9, 3, 4, 5}), 100U);
        cr_assert_eq(bytesOf({1, 3, 4}), 0U);
        cr_assert_eq(bytesOf({5, 4, 3, 2, 1}), 0U);
    }
    SECTION("without an earlier text")
    {
        const std::vector<DeltaPart> parts = makeDelta("", base);
        cr_assert_eq(newBytes(parts), base.size());
        cr_assert(applyDelta("", parts, MaxBytes) == base);
    }
}

Test(text_delta, any_two_texts)
{
    std::mt19937 random(5);
    const auto makeText = [&]() {
        std::string text;
        for (size_t count = random() % 60; count > 0; --count) {
            text += "{}ab"[random() % 4];
        }
        return text;
    };
    for (int run = 0; run < 5000; ++run) {
        const std::string base = makeText();
        const std::string target = makeText();
        cr_assert(applyDelta(base, makeDelta(base, target), MaxBytes) == target);
    }
}

// Guards against parts of another version that are read beyond the end of the text, or that claim
// more memory than a configuration may have.
Test(text_delta, parts_that_do_not_fit_are_refused)
{
    cr_assert(!applyDelta("abc", {{2, 2, ""}}, MaxBytes));
    cr_assert(!applyDelta("abc", {{SIZE_MAX, 2, ""}}, MaxBytes));
    cr_assert(!applyDelta("abc", {{0, SIZE_MAX, ""}}, MaxBytes));
    cr_assert(!applyDelta("abc", {{0, 3, ""}, {0, 3, "x"}}, 6));
    cr_assert(applyDelta("abc", {{0, 3, ""}, {0, 3, ""}}, 6) == "abcabc");
}
