/** @file rpc_codec_test.cpp Operators' calls in JSON form. */

#include "adapter/codec/rpc_codec.h"

#include "support/test_section.h"
#include "wisteriahoist/v1/operator.pb.h"

using namespace wisteriahoist;

Test(config_rpc, json)
{
    SECTION("only methods of the schema are accepted")
    {
        cr_assert(isOperatorMethod("Apply"));
        cr_assert(!isOperatorMethod("Remove"));
    }
    SECTION("a request is converted to protobuf")
    {
        const auto bytes = requestFromJson("Explain", R"({"service": "notes", "key": "kari"})");
        v1::ExplainRequest request;
        cr_assert(request.ParseFromString(bytes.assume_value()));
        cr_assert(request.key() == "kari");
    }
    SECTION("an unknown field is refused")
    {
        const auto bytes = requestFromJson("Apply", R"({"dry_rum": true})");
        cr_assert(bytes.assume_error().code == FailureCode::Malformed);
    }
    SECTION("a reply is converted to JSON with the names of the schema")
    {
        v1::ExplainReply reply;
        reply.set_reason(v1::EXPLAIN_REASON_NO_OWNER);
        const auto json = replyToJson("Explain", reply.SerializeAsString());
        cr_assert(json.assume_value() == R"({"reason":"EXPLAIN_REASON_NO_OWNER"})");
        cr_assert(replyToJson("Explain", "\xff").assume_error().code == FailureCode::Malformed);
    }
}
