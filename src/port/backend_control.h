/** @file backend_control.h Interface: commands to the local backend server. */

#pragma once

#include "decision/range/grant_manager.h"

#include <boost/asio/awaitable.hpp>

namespace wisteriahoist {

/** Result of a grant or release command. */
struct ControlReply {
    ControlResult result = ControlResult::Unanswered;
    std::string handover; ///< Hand-over token; set by a release.
};

/** Result of a status poll of the backend server. */
struct BackendStatus {
    bool answered = false;
    bool healthy = false;
    bool refusedConnection = false;
    std::string backend; ///< Backend id; the response does not identify the incarnation.
};

/** Sends grants and releases to a backend server that enforces them itself. */
class BackendControl
{
public:
    virtual ~BackendControl() = default;

    virtual boost::asio::awaitable<ControlReply> grant(GrantRequest request, milliseconds timeout)
            = 0;
    virtual boost::asio::awaitable<ControlReply> release(ReleaseRequest request,
                                                         milliseconds timeout)
            = 0;

    /** Requests the status and id of the backend server; briefly occupies one of its slots. */
    virtual boost::asio::awaitable<BackendStatus> pollOnce(milliseconds timeout) = 0;

    /** The same on a connection that is opened for this call, so that the answer is one of the
     *  process that accepts connections now. */
    virtual boost::asio::awaitable<BackendStatus> identify(milliseconds timeout) = 0;
};

} // namespace wisteriahoist
