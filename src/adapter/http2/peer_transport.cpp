/** @file peer_transport.cpp Calls between nodes over HTTP/2. */

#include "adapter/http2/peer_transport.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/socket/socket_type.h"
#include "adapter/task/background_task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <optional>
#include <utility>

namespace wisteriahoist {

namespace {

/** A transfer of which nothing arrives for this time is lost; longer than a retransmission. */
constexpr milliseconds TransferSilence{500};

} // namespace

PeerListener::PeerListener(asio::io_context &context, const std::string &ip, uint16_t port,
                           PeerHandler handler)
    : acceptor_(context, tcp::endpoint(asio::ip::make_address(ip), port)),
      handler_(std::move(handler))
{ }

void PeerListener::start()
{
    startLoop(acceptor_.get_executor(), "accepting nodes",
              [self = shared_from_this()]() { return self->acceptLoop(); });
}

void PeerListener::stop()
{
    stopping_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (const auto &weak : sessions_) {
        if (const auto session = weak.lock()) {
            session->close();
        }
    }
}

asio::awaitable<void> PeerListener::acceptLoop()
{
    while (!stopping_) {
        beast::error_code error;
        tcp::socket socket
                = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_await sleepFor(AcceptRetryPause);
            continue;
        }
        PeerHandler handler = guard_ ? guard_->guard(handler_) : handler_;
        auto session = std::make_shared<Http2Session>(std::move(socket), Http2Session::Role::Server,
                                                      std::move(handler), nullptr, memory_);
        if (sessions_.size() >= pruneAt_) {
            std::erase_if(sessions_, [](const auto &weak) { return weak.expired(); });
            pruneAt_ = std::max(MinPruneCount, 2 * sessions_.size());
        }
        sessions_.push_back(session);
        session->start();
    }
}

PeerCaller::PeerCaller(asio::io_context &context)
    : context_(context), monitor_(std::make_shared<KeepaliveMonitor>(context.get_executor()))
{ }

void PeerCaller::closeAll()
{
    for (auto &[peer, session] : sessions_) {
        session->close();
    }
    sessions_.clear();
}

asio::awaitable<Result<std::shared_ptr<Http2Session>>> PeerCaller::connect(const PeerEndpoint &peer,
                                                                           milliseconds timeout)
{
    if (connectTimeout_.count() > 0) {
        timeout = std::min(timeout, connectTimeout_);
    }
    const auto found = sessions_.find(peer);
    if (found != sessions_.end() && found->second->isOpen()) {
        co_return found->second;
    }
    const auto inProgress = attempts_.find(peer);
    if (inProgress != attempts_.end()) {
        const std::shared_ptr<ConnectAttempt> attempt = inProgress->second;
        beast::error_code ignored;
        co_await attempt->ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto opened = sessions_.find(peer);
        if (opened != sessions_.end() && opened->second->isOpen()) {
            co_return opened->second;
        }
        co_return Failure{FailureCode::Unavailable,
                          "the connection attempt started by another call failed"};
    }
    const auto attempt = std::make_shared<ConnectAttempt>(context_);
    attempt->ended.expires_after(timeout);
    attempts_[peer] = attempt;
    auto session = co_await open(peer, timeout);
    attempts_.erase(peer);
    attempt->ended.cancel();
    co_return session;
}

asio::awaitable<Result<std::shared_ptr<Http2Session>>> PeerCaller::open(const PeerEndpoint &peer,
                                                                        milliseconds timeout)
{
    if (sessions_.size() >= pruneAt_) {
        std::erase_if(sessions_, [](const auto &entry) { return !entry.second->isOpen(); });
        pruneAt_ = std::max(MinPruneCount, 2 * sessions_.size());
    }
    beast::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(peer.ip, error), peer.port);
    if (error) {
        co_return Failure{FailureCode::Unavailable, "the peer's address is invalid: " + peer.ip};
    }
    beast::tcp_stream stream(context_);
    stream.expires_after(timeout);
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return Failure{FailureCode::Unavailable,
                          "connecting to the peer failed: " + error.message()};
    }
    stream.expires_never();
    auto session = std::make_shared<Http2Session>(
            stream.release_socket(), Http2Session::Role::Client, nullptr, monitor_, memory_);
    session->start();
    if (!keys_.empty()) {
        const Result<void> handshake = co_await performHello(session, timeout);
        if (!handshake) {
            ++helloFailures_;
            session->close();
            // The call itself has not been sent, whatever the result of the handshake.
            co_return Failure{FailureCode::Unavailable, handshake.assume_error().context};
        }
    }
    sessions_[peer] = session;
    co_return session;
}

asio::awaitable<Result<void>> PeerCaller::performHello(std::shared_ptr<Http2Session> session,
                                                       milliseconds timeout)
{
    HelloCaller hello(keys_);
    std::string request = hello.makeHello();
    Result<std::string> reply
            = co_await callSession(session, HelloPath, std::move(request), timeout);
    if (!reply) {
        co_return std::move(reply).as_failure();
    }
    Result<std::string> proof = hello.onHelloReply(reply.assume_value());
    if (!proof) {
        co_return std::move(proof).as_failure();
    }
    reply = co_await callSession(session, ProofPath, std::move(proof.assume_value()), timeout);
    if (!reply) {
        co_return std::move(reply).as_failure();
    }
    co_return HelloCaller::onProofReply(reply.assume_value());
}

asio::awaitable<Result<std::string>> PeerCaller::call(PeerEndpoint peer, std::string path,
                                                      PeerBody body, CallTimes times)
{
    auto connected = co_await connect(peer, times.reply);
    if (!connected) {
        co_return std::move(connected).as_failure();
    }
    co_return co_await callSession(connected.assume_value(), std::move(path), std::move(body),
                                   times);
}

asio::awaitable<Result<std::string>> PeerCaller::callSession(std::shared_ptr<Http2Session> session,
                                                             std::string path, PeerBody body,
                                                             CallTimes times)
{
    const auto begun = std::chrono::steady_clock::now();
    // Waits on the timer, which ends at the timeout or is cancelled by the completion.
    auto timer = std::make_shared<asio::steady_timer>(context_, times.reply);
    auto outcome = std::make_shared<std::optional<Result<std::string>>>();
    const int32_t streamId
            = session->call(path, std::move(body), [timer, outcome](Result<std::string> result) {
                  outcome->emplace(std::move(result));
                  timer->cancel();
              });
    size_t received = 0;
    for (bool waits = !outcome->has_value(); waits;) {
        beast::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const size_t before = std::exchange(received, session->receivedBytes(streamId));
        waits = !outcome->has_value() && received > before
                && std::chrono::steady_clock::now() < begun + times.transfer;
        timer->expires_after(TransferSilence);
    }
    if (outcome->has_value()) {
        co_return std::move(outcome->value());
    }
    session->cancel(streamId);
    const auto waited
            = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun);
    co_return Failure{FailureCode::DeadlineExceeded, "no complete reply within "
                                                             + std::to_string(waited.count())
                                                             + " ms; stream cancelled after "
                                                             + std::to_string(received) + " bytes"};
}

} // namespace wisteriahoist
