/** @file rpc_codec.cpp Methods of the operator service and their JSON encoding. */

#include "adapter/codec/rpc_codec.h"

#include "wisteriahoist/v1/operator.pb.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/json_util.h>
#include <memory>

namespace wisteriahoist {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::Message;
using google::protobuf::MessageFactory;
using google::protobuf::MethodDescriptor;

const MethodDescriptor *findMethod(std::string_view method)
{
    const auto *service
            = v1::ApplyRequest::descriptor()->file()->FindServiceByName("OperatorService");
    return service->FindMethodByName(std::string(method));
}

std::unique_ptr<Message> makeMessage(const Descriptor *type)
{
    return std::unique_ptr<Message>(MessageFactory::generated_factory()->GetPrototype(type)->New());
}

} // namespace

bool isOperatorMethod(std::string_view method)
{
    return findMethod(method) != nullptr;
}

Result<std::string> requestFromJson(std::string_view method, const std::string &json)
{
    const std::unique_ptr<Message> message = makeMessage(findMethod(method)->input_type());
    // Unknown fields are rejected, so that a misspelt flag is not ignored.
    const auto status = google::protobuf::util::JsonStringToMessage(json, message.get());
    if (!status.ok()) {
        return Failure{FailureCode::Malformed, std::string(status.message())};
    }
    return message->SerializeAsString();
}

bool isRequest(std::string_view method, const std::string &bytes)
{
    return makeMessage(findMethod(method)->input_type())->ParseFromString(bytes);
}

Result<std::string> replyToJson(std::string_view method, const std::string &bytes)
{
    const std::unique_ptr<Message> message = makeMessage(findMethod(method)->output_type());
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string json;
    if (!message->ParseFromString(bytes)
        || !google::protobuf::util::MessageToJsonString(*message, &json, options).ok()) {
        return Failure{FailureCode::Malformed, "invalid reply of " + std::string(method)};
    }
    return json;
}

} // namespace wisteriahoist
