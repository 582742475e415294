/** @file operator_client.h Command-line client of the operator service. */

#pragma once

#include "adapter/auth/fleet_authenticator.h"
#include "adapter/http/http_client.h"
#include "core/failure_type.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriahoist {

/** Target of an operator call: the admin address of any node. */
struct OperatorTarget {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
};

/** @return A protobuf call of @p method; signed if @p keys is not empty. */
HttpRequest makeOperatorCall(const FleetKeys &keys, const OperatorTarget &target,
                             const std::string &method, std::string body, WallTime now);

/** Sends calls and waits for their replies. */
class OperatorClient
{
public:
    /** @param keys The first one signs; empty: calls are not signed. */
    OperatorClient(OperatorTarget target, FleetKeys keys, milliseconds timeout)
        : target_(std::move(target)), keys_(std::move(keys)), timeout_(timeout)
    { }

    /**
     * Sends one call.
     * @param method A method's name in the schema.
     * @param reply Receives the reply.
     * @return Ambiguous or DeadlineExceeded if the node may have executed the call.
     */
    Result<void> call(const std::string &method, const google::protobuf::Message &request,
                      google::protobuf::Message &reply) const;

    /**
     * Queries the status of every member of @p roster concurrently. @return Replies in the order of
     * the roster.
     */
    std::vector<Result<v1::StatusReply>>
    queryAll(const google::protobuf::RepeatedPtrField<v1::Member> &roster) const;

private:
    asio::awaitable<Result<std::string>> exchange(OperatorTarget target, std::string method,
                                                  std::string body) const;

    OperatorTarget target_;
    FleetKeys keys_;
    milliseconds timeout_; ///< Timeout of one call.
};

} // namespace wisteriahoist
