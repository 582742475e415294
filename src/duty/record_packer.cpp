/** @file record_packer.cpp Large records between nodes: what has changed, compressed. */

#include "duty/record_packer.h"

#include "adapter/codec/deflate.h"
#include "core/hash_func.h"
#include "decision/config/text_delta.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/** Smaller records are sent whole. */
constexpr size_t MinPackedBytes = 4 * 1024;
/** Bounds the memory that a message can claim. */
constexpr size_t MaxContentBytes = 16 * 1024 * 1024;
/** Nodes that are further behind get the record compressed, but whole. */
constexpr size_t KeptRecords = 2;

uint64_t digestOf(std::string_view content)
{
    return hashKey(content, 0).value();
}

std::string serialize(const std::vector<DeltaPart> &parts)
{
    v1::TextDelta delta;
    for (const DeltaPart &part : parts) {
        v1::TextPart &added = *delta.add_parts();
        added.set_offset(part.offset);
        added.set_length(part.length);
        added.set_text(part.text);
    }
    return delta.SerializeAsString();
}

std::vector<DeltaPart> toParts(const v1::TextDelta &delta)
{
    std::vector<DeltaPart> parts;
    for (const v1::TextPart &part : delta.parts()) {
        parts.push_back({part.offset(), part.length(), part.text()});
    }
    return parts;
}

} // namespace

const StoredRecord *RecordPacker::findKept(StoreRevision revision) const
{
    const auto found
            = std::find_if(kept_.begin(), kept_.end(), [revision](const StoredRecord &record) {
                  return record.revision == revision;
              });
    return found == kept_.end() ? nullptr : &*found;
}

StoreRevision RecordPacker::held() const
{
    return kept_.empty() ? StoreRevision() : kept_.back().revision;
}

void RecordPacker::remember(const StoredRecord &record)
{
    if (record.content.size() < MinPackedBytes || record.revision <= held()) {
        return;
    }
    kept_.push_back(record);
    if (kept_.size() > KeptRecords) {
        kept_.pop_front();
    }
}

void RecordPacker::pack(const StoredRecord &record, StoreRevision held, v1::StoreRecord &packed)
{
    if (record.content.size() < MinPackedBytes) {
        packed.set_name(record.name);
        packed.set_revision(record.revision.value());
        packed.set_content(record.content);
        return;
    }
    if (cached_ != record.revision) {
        cached_ = record.revision;
        packed_.clear();
    }
    const StoredRecord *base = findKept(held);
    const bool isBase = base != nullptr && base->name == record.name;
    v1::StoreRecord &entry = packed_[isBase ? held : StoreRevision()];
    if (entry.packed_size() == 0) {
        const std::string delta
                = serialize(makeDelta(isBase ? base->content : std::string_view(), record.content));
        entry.set_name(record.name);
        entry.set_revision(record.revision.value());
        entry.set_packed(deflate(delta));
        entry.set_packed_size(delta.size());
        entry.set_base(isBase ? held.value() : 0);
        entry.set_digest(digestOf(record.content));
    }
    packed = entry;
}

Result<StoredRecord> RecordPacker::unpack(const v1::StoreRecord &packed) const
{
    StoredRecord record{packed.name(), StoreRevision(packed.revision()), packed.content()};
    if (packed.packed_size() == 0) {
        return record;
    }
    if (packed.packed_size() > MaxContentBytes) {
        return Failure{FailureCode::TooLarge, "packed record exceeds 16 MiB"};
    }
    const StoredRecord *base = findKept(StoreRevision(packed.base()));
    if (packed.base() != 0 && base == nullptr) {
        return Failure{FailureCode::Unavailable, "the base of a packed record is not kept"};
    }
    Result<std::string> bytes = inflate(packed.packed(), packed.packed_size());
    if (!bytes) {
        return std::move(bytes).as_failure();
    }
    v1::TextDelta delta;
    if (!delta.ParseFromString(bytes.assume_value())) {
        return Failure{FailureCode::Malformed, "packed record is not a difference of texts"};
    }
    std::optional<std::string> content = applyDelta(
            base == nullptr ? std::string_view() : base->content, toParts(delta), MaxContentBytes);
    if (!content || digestOf(*content) != packed.digest()) {
        return Failure{FailureCode::Malformed, "packed record doesn't match its digest"};
    }
    record.content = std::move(*content);
    return record;
}

} // namespace wisteriahoist
