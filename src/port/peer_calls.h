/** @file peer_calls.h Port: calls between this node and others. */

#pragma once

#include "core/failure_type.h"
#include "decision/member/member_type.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriahoist {

/** Carries calls to other nodes, and theirs to whoever answers them here. Used by one thread. */
class PeerCalls
{
public:
    using Answer = std::function<boost::asio::awaitable<std::string>(std::string)>;

    virtual ~PeerCalls() = default;

    /** @param path Begins with a slash. @pre Called before the first call arrives. */
    virtual void serve(const std::string &path, Answer answer) = 0;

    /** @return The reply's body; Unavailable if the peer never processed the call, also because
     *          another node has its address by now. */
    virtual boost::asio::awaitable<Result<std::string>>
    call(const MemberRecord &member, std::string_view path, std::string body, milliseconds timeout)
            = 0;
};

} // namespace wisteriahoist
