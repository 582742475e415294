/** @file operator_service.h The operators' calls, answered by the control duty. */

#pragma once

#include "decision/ownership/member.h"
#include "port/clock.h"
#include "port/platform_store.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace wisteriahoist {

namespace asio = boost::asio;

/**
 * Answers the calls of OperatorService in operator.proto. Runs on the control duty's thread and
 * reads the member's state there; it changes only the configuration object in the platform.
 */
class OperatorService
{
public:
    OperatorService(const Clock &clock, PlatformStore &platform, const Member &member)
        : clock_(clock), platform_(platform), member_(member)
    { }

    /**
     * Answers one call.
     * @param method A method's name in the schema; any other is answered with an empty body.
     * @param body The protobuf request.
     * @return The protobuf reply.
     */
    asio::awaitable<std::string> call(std::string method, std::string body);

private:
    asio::awaitable<v1::ApplyReply> apply(v1::ApplyRequest request);
    v1::StatusReply status() const;

    const Clock &clock_;
    PlatformStore &platform_;
    const Member &member_;
};

} // namespace wisteriahoist
