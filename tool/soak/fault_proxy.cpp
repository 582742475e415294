/** @file fault_proxy.cpp A loopback proxy that delays, resets, cuts one way or silences
 * connections.
 */

#include "soak/fault_proxy.h"

#include "adapter/clock/sleep_func.h"
#include "standin/task_func.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace wisteriahoist::soak {

namespace {

constexpr milliseconds HoldStep{5}; ///< Held bytes look so often whether the cut has ended.
constexpr size_t PieceBytes = 16 * 1024;

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/** One connection and the one that goes on from it. */
struct FaultProxy::Session {
    explicit Session(tcp::socket accepted)
        : opener(std::move(accepted)), target(opener.get_executor())
    { }

    void end()
    {
        ended = true;
        reset(opener);
        reset(target);
    }

    tcp::socket opener;
    tcp::socket target;
    bool silent = false;
    bool ended = false;
};

FaultProxy::FaultProxy(asio::io_context &context, const std::string &ip, Endpoint target)
    : context_(context), acceptor_(context, tcp::endpoint(asio::ip::make_address(ip), 0)),
      target_(std::move(target))
{
    address_ = {ip, acceptor_.local_endpoint().port()};
    startTask(context_, acceptLoop());
}

FaultProxy::~FaultProxy()
{
    resetOpen();
}

void FaultProxy::resetOpen()
{
    for (const auto &session : sessions_) {
        session->end();
    }
}

void FaultProxy::silenceOpen()
{
    for (const auto &session : sessions_) {
        session->silent = true;
    }
}

asio::awaitable<void> FaultProxy::acceptLoop()
{
    while (true) {
        boost::system::error_code error;
        tcp::socket socket
                = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        auto session = std::make_shared<Session>(std::move(socket));
        sessions_.insert(session);
        startTask(context_, serve(session));
    }
}

asio::awaitable<void> FaultProxy::serve(std::shared_ptr<Session> session)
{
    while (faults_.cutForward || faults_.cutBackward) {
        co_await sleepFor(HoldStep); // A connection can't be opened through a cut.
    }
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(target_.ip), target_.port);
    co_await session->target.async_connect(endpoint,
                                           asio::redirect_error(asio::use_awaitable, error));
    if (error || session->ended) {
        session->end();
        sessions_.erase(session);
        co_return;
    }
    session->opener.set_option(tcp::no_delay(true), error);
    session->target.set_option(tcp::no_delay(true), error);
    startTask(context_, pump(session, true));
    co_await pump(session, false);
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Session> session, bool forward)
{
    tcp::socket &from = forward ? session->opener : session->target;
    tcp::socket &to = forward ? session->target : session->opener;
    std::array<char, PieceBytes> piece{};
    const auto isHeld = [this, forward, session]() {
        return !session->ended
               && (session->silent || (forward ? faults_.cutForward : faults_.cutBackward));
    };
    while (!session->ended) {
        boost::system::error_code error;
        const size_t count = co_await from.async_read_some(
                asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        if (!error && faults_.delay.count() > 0) {
            co_await sleepFor(faults_.delay);
        }
        while (isHeld()) {
            co_await sleepFor(HoldStep);
        }
        if (session->ended) {
            break;
        }
        if (error == asio::error::eof) {
            boost::system::error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return; // The other direction may go on.
        }
        if (error) {
            break;
        }
        co_await asio::async_write(to, asio::buffer(piece.data(), count),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
    }
    session->end();
    sessions_.erase(session);
}

} // namespace wisteriahoist::soak
