/** @file hop_codec.cpp Messages between nodes, without copies of large bodies. */

#include "duty/hop_codec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

namespace wisteriahoist {

namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using google::protobuf::io::StringOutputStream;

/** Bodies up to this size in bytes are copied, which takes less time than to avoid it. */
constexpr size_t CopiedBytes = 64 * 1024;

template <typename Message>
constexpr uint32_t bodyTag()
{
    return WireFormatLite::MakeTag(Message::kBodyFieldNumber,
                                   WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
}

/** The fields of a message may come in any order, so its body may come last. */
template <typename Message>
std::string encodeUpToBody(Message &message)
{
    std::string body;
    body.swap(*message.mutable_body());
    std::string head = message.SerializeAsString();
    {
        StringOutputStream stream(&head);
        CodedOutputStream out(&stream);
        out.WriteTag(bodyTag<Message>());
        out.WriteVarint32(static_cast<uint32_t>(body.size()));
    }
    body.swap(*message.mutable_body());
    return head;
}

template <typename Message>
bool decode(std::string bytes, Message &message)
{
    const auto size = static_cast<int>(bytes.size());
    if (bytes.size() <= CopiedBytes) {
        return message.ParseFromArray(bytes.data(), size);
    }
    CodedInputStream in(reinterpret_cast<const uint8_t *>(bytes.data()), size);
    for (int tagAt = 0; tagAt < size; tagAt = in.CurrentPosition()) {
        const uint32_t tag = in.ReadTag();
        uint32_t length = 0;
        if (tag != bodyTag<Message>()) {
            if (tag == 0 || !WireFormatLite::SkipField(&in, tag)) {
                return false;
            }
            continue;
        }
        if (!in.ReadVarint32(&length)) {
            return false;
        }
        const int bodyAt = in.CurrentPosition();
        if (length > static_cast<uint32_t>(size - bodyAt)) {
            return false;
        }
        const std::string head = bytes.substr(0, static_cast<size_t>(tagAt));
        const std::string rest = bytes.substr(static_cast<size_t>(bodyAt) + length);
        if (!message.ParseFromString(head) || !message.MergeFromString(rest)) {
            return false;
        }
        bytes.resize(static_cast<size_t>(bodyAt) + length);
        bytes.erase(0, static_cast<size_t>(bodyAt));
        message.set_body(std::move(bytes));
        return true;
    }
    return message.ParseFromArray(bytes.data(), size);
}

} // namespace

std::string encodeHead(v1::HopRequest &message)
{
    return encodeUpToBody(message);
}

std::string encodeReply(v1::HopReply message)
{
    if (message.body().size() <= CopiedBytes) {
        return message.SerializeAsString();
    }
    const std::string head = encodeUpToBody(message);
    std::string bytes = std::move(*message.mutable_body());
    bytes.insert(0, head);
    return bytes;
}

bool decodeMessage(std::string bytes, v1::HopRequest &message)
{
    return decode(std::move(bytes), message);
}

bool decodeMessage(std::string bytes, v1::HopReply &message)
{
    return decode(std::move(bytes), message);
}

} // namespace wisteriahoist
