/** @file peer_calls.h Interface: remote procedure calls between nodes. */

#pragma once

#include "core/failure_type.h"
#include "core/time_type.h"
#include "decision/member/member_type.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriahoist {

/** Time limits of a call. */
struct CallTimes {
    CallTimes(milliseconds replyTimeout, milliseconds transferTimeout = milliseconds(0))
        : reply(replyTimeout), transfer(transferTimeout)
    { }

    milliseconds reply; ///< Until the reply has arrived, or begins to arrive if that is allowed.
    /** If longer than that: the limit of a reply that keeps arriving. */
    milliseconds transfer;
};

/** Sends calls to other nodes and dispatches incoming calls to handlers. Used by one thread. */
class PeerCalls
{
public:
    /** Handles one incoming call: receives the request body and returns the reply body. */
    using Handler = std::function<boost::asio::awaitable<std::string>(std::string)>;

    virtual ~PeerCalls() = default;

    /** Registers the handler for @p path.
     *  @param path Begins with a slash. @pre Called before the first call arrives. */
    virtual void serve(const std::string &path, Handler handler) = 0;

    /** @return The reply body; Unavailable if the peer has not processed the call, also if another
     *          node now uses its address. */
    virtual boost::asio::awaitable<Result<std::string>>
    call(const MemberRecord &member, std::string_view path, std::string body, CallTimes times) = 0;
};

} // namespace wisteriahoist
