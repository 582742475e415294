/** @file rpc_codec.h Methods of the operator service and their JSON encoding. */

#pragma once

#include "core/failure_type.h"

#include <string>
#include <string_view>

namespace wisteriahoist {

inline constexpr std::string_view OperatorServicePath = "/wisteriahoist.v1.OperatorService/";

/** @return Whether OperatorService has a method @p method. */
bool isOperatorMethod(std::string_view method);

/** @return The request of @p method in protobuf encoding; Malformed if @p json is not one. */
Result<std::string> requestFromJson(std::string_view method, const std::string &json);

/** @return Whether @p bytes is a valid request of @p method. */
bool isRequest(std::string_view method, const std::string &bytes);

/** @return The reply of @p method as JSON. */
Result<std::string> replyToJson(std::string_view method, const std::string &bytes);

} // namespace wisteriahoist
