/** @file operator_service.h The operators' calls, answered by the control duty. */

#pragma once

#include "decision/ownership/member.h"
#include "duty/config_writer.h"
#include "duty/loss_confirmer.h"
#include "port/clock.h"
#include "port/platform_store.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace wisteriahoist {

namespace asio = boost::asio;

/**
 * Answers the calls of OperatorService in operator.proto. Runs on the control duty's thread and
 * reads the member's state there; it changes only the configuration object in the platform,
 * and whether this node drains.
 */
class OperatorService
{
public:
    /** @param cell The cell's name; its objects lie under cells/CELL/. */
    OperatorService(const Clock &clock, PlatformStore &platform, const Member &member,
                    const std::string &cell)
        : clock_(clock), member_(member), writer_(platform, ConfigWriterTimes()),
          lossConfirmer_(platform, "cells/" + cell + "/loss")
    { }

    /**
     * Answers one call.
     * @param method A method's name in the schema; any other is answered with an empty body.
     * @param body The protobuf request.
     * @return The protobuf reply.
     */
    asio::awaitable<std::string> call(std::string method, std::string body);

    /** @return Whether an operator takes this node out of service. */
    bool isDraining() const { return draining_; }

private:
    asio::awaitable<v1::ApplyReply> apply(v1::ApplyRequest request);
    asio::awaitable<v1::DiffReply> diff(v1::DiffRequest request);
    asio::awaitable<v1::StatusReply> status(v1::StatusRequest request);
    asio::awaitable<v1::ExplainReply> explain(v1::ExplainRequest request);
    asio::awaitable<v1::ExportReply> exportStored(v1::ExportRequest request);
    asio::awaitable<v1::DrainReply> drain(v1::DrainRequest request);
    asio::awaitable<v1::ConfirmLostReply> confirmLost(v1::ConfirmLostRequest request);

    /** @return The highest version that this node has had in force. */
    uint64_t versionFloor() const { return member_.declarations().version; }

    const Clock &clock_;
    const Member &member_;
    ConfigWriter writer_;
    LossConfirmer lossConfirmer_;
    bool draining_ = false; ///< Lost with the process: a replaced VM is a new node.
};

} // namespace wisteriahoist
