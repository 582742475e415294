/** @file operator_client.h Calls of the operators' service from the command line. */

#pragma once

#include "adapter/auth/fleet_authenticator.h"
#include "adapter/http/http_client.h"
#include "core/failure_type.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriahoist {

/** Where an operator's call goes: any node's admin address. */
struct OperatorTarget {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
};

/** @return A call of @p method in protobuf form, signed if there are @p keys. */
HttpRequest makeOperatorCall(const FleetKeys &keys, const OperatorTarget &target,
                             const std::string &method, std::string body, WallTime now);

/** Makes calls and waits for their replies. */
class OperatorClient
{
public:
    /** @param keys The first signs; empty: calls are not signed. */
    OperatorClient(OperatorTarget target, FleetKeys keys, milliseconds timeout)
        : target_(std::move(target)), keys_(std::move(keys)), timeout_(timeout)
    { }

    /**
     * Makes one call.
     * @param method A method's name in the schema.
     * @param reply Gets the reply.
     * @return Ambiguous or DeadlineExceeded if the node may have acted.
     */
    Result<void> call(const std::string &method, const google::protobuf::Message &request,
                      google::protobuf::Message &reply) const;

    /** Asks every member of @p roster for its own status, all at once; in the roster's order. */
    std::vector<Result<v1::StatusReply>>
    askAll(const google::protobuf::RepeatedPtrField<v1::Member> &roster) const;

private:
    asio::awaitable<Result<std::string>> exchange(OperatorTarget target, std::string method,
                                                  std::string body) const;

    OperatorTarget target_;
    FleetKeys keys_;
    milliseconds timeout_; ///< Bound of one call.
};

} // namespace wisteriahoist
