/** @file backend_control.h Port: orders to the backend server beside this node. */

#pragma once

#include "decision/range/range_keeper.h"

#include <boost/asio/awaitable.hpp>

namespace wisteriahoist {

/** How an order ended. */
struct OrderAnswer {
    OrderResult result = OrderResult::Unanswered;
    std::string handover; ///< Of a release.
};

/** What a look at the backend server showed. */
struct BackendSight {
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

    virtual boost::asio::awaitable<OrderAnswer> grant(GrantOrder order, milliseconds timeout) = 0;
    virtual boost::asio::awaitable<OrderAnswer> release(ReleaseOrder order, milliseconds timeout)
            = 0;

    /** Asks for its state and life; takes a slot there for a moment. */
    virtual boost::asio::awaitable<BackendSight> look(milliseconds timeout) = 0;
};

} // namespace wisteriahoist
