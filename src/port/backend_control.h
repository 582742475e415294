/** @file backend_control.h Port: orders to the backend server beside this node. */

#pragma once

#include "decision/range/grant_manager.h"

#include <boost/asio/awaitable.hpp>

namespace wisteriahoist {

/** How an order ended. */
struct ControlReply {
    ControlResult result = ControlResult::Unanswered;
    std::string handover; ///< Of a release.
};

/** What a pollOnce at the backend server showed. */
struct BackendStatus {
    bool answered = false;
    bool healthy = false;
    bool refusedConnection = false;
    std::string backend; ///< Its id; the answer does not tell which life it is.
};

/** Grants and releases for a backend server that enforces them itself. */
class BackendControl
{
public:
    virtual ~BackendControl() = default;

    virtual boost::asio::awaitable<ControlReply> grant(GrantRequest order, milliseconds timeout)
            = 0;
    virtual boost::asio::awaitable<ControlReply> release(ReleaseRequest order, milliseconds timeout)
            = 0;

    /** Asks for its state and life; takes a slot there for a moment. */
    virtual boost::asio::awaitable<BackendStatus> pollOnce(milliseconds timeout) = 0;
};

} // namespace wisteriahoist
