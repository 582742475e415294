/** @file rpc_codec.h The operators' methods as the schema names them, and their JSON form. */

#pragma once

#include "core/failure_type.h"

#include <string>
#include <string_view>

namespace wisteriahoist {

inline constexpr std::string_view OperatorServicePath = "/wisteriahoist.v1.OperatorService/";

/** @return Whether the schema's OperatorService has @p method. */
bool isOperatorMethod(std::string_view method);

/** @return The request of @p method in protobuf form; Malformed if @p json is none. */
Result<std::string> requestFromJson(std::string_view method, const std::string &json);

/** @return Whether @p bytes are a request of @p method. */
bool isRequest(std::string_view method, const std::string &bytes);

/** @return The reply of @p method as JSON. */
Result<std::string> replyToJson(std::string_view method, const std::string &bytes);

} // namespace wisteriahoist
