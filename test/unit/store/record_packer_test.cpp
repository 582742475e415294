/** @file record_packer_test.cpp Large records between nodes: what has changed, compressed. */

#include "duty/record_packer.h"

#include "support/random_text.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr size_t LargeBytes = 100 * 1024;

StoredRecord makeRecord(uint64_t revision)
{
    std::string content = "{";
    for (uint32_t route = 0; content.size() < LargeBytes; ++route) {
        content += R"({"name":")" + makeRandomText(50, route) + R"(","timeout":"1500ms"},)";
    }
    return {"main", StoreRevision(revision), content + std::to_string(revision) + "}"};
}

} // namespace

Test(record_packer, difference_from_the_held_record)
{
    RecordPacker sender;
    RecordPacker receiver;
    for (uint64_t revision = 1; revision <= 2; ++revision) {
        sender.remember(makeRecord(revision));
    }
    receiver.remember(makeRecord(1));
    v1::StoreRecord packed;

    SECTION("both have its base")
    {
        sender.pack(makeRecord(2), receiver.held(), packed);
        cr_assert_lt(packed.ByteSizeLong(), 200U);
        const auto record = receiver.unpack(packed);
        cr_assert(record.has_value() && record.assume_value().content == makeRecord(2).content);
        cr_assert(!RecordPacker().unpack(packed).has_value());
    }
    SECTION("the sender no longer has it: whole, and compressed")
    {
        sender.remember(makeRecord(3));
        sender.pack(makeRecord(3), receiver.held(), packed);
        cr_assert_eq(packed.base(), 0U);
        cr_assert_lt(packed.ByteSizeLong(), LargeBytes);
        const auto record = RecordPacker().unpack(packed);
        cr_assert(record.has_value() && record.assume_value().content == makeRecord(3).content);
    }
    SECTION("a small record is sent as it is")
    {
        sender.pack({"main", StoreRevision(4), "{}"}, receiver.held(), packed);
        cr_assert_eq(packed.content().size(), 2U);
    }
}

// Guards against a configuration that is put together from parts of another one.
Test(record_packer, damaged_records_are_refused)
{
    RecordPacker packer;
    v1::StoreRecord packed;
    packer.pack(makeRecord(1), StoreRevision(), packed);
    const auto isRefused = [&](auto damage) {
        v1::StoreRecord damaged = packed;
        damage(damaged);
        return !packer.unpack(damaged).has_value();
    };
    cr_assert(!isRefused([](v1::StoreRecord &) {}));
    cr_assert(isRefused([](v1::StoreRecord &record) { record.set_digest(1); }));
    cr_assert(isRefused([](v1::StoreRecord &record) { record.set_base(7); }));
    cr_assert(isRefused([](v1::StoreRecord &record) { record.set_packed("x"); }));
    cr_assert(isRefused([](v1::StoreRecord &record) { record.set_packed_size(UINT64_MAX); }));
    cr_assert(isRefused(
            [](v1::StoreRecord &record) { record.set_packed_size(record.packed_size() - 1); }));
}
