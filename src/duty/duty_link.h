/** @file duty_link.h Two bounded rings that join two duties: requests one way, replies the other.
 */

#pragma once

#include "core/failure_type.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace wisteriahoist {

/**
 * One duty calls another. Each ring has a single producer and a single consumer thread.
 *
 * A full request ring is answered at once with Overloaded and counted; nothing is queued beyond
 * it. The reply ring cannot be full: outstanding calls are bounded by its capacity.
 */
template <typename Request, typename Reply>
class DutyLink
{
public:
    using Handler = std::function<boost::asio::awaitable<Reply>(Request)>;

    /**
     * @param caller The io_context of the duty that calls.
     * @param server The io_context of the duty that answers.
     */
    DutyLink(boost::asio::io_context &caller, boost::asio::io_context &server, size_t capacity)
        : caller_(caller), server_(server), capacity_(capacity), requests_(capacity),
          replies_(capacity)
    { }

    /** Sets who answers. @pre Called before either duty's thread runs. */
    void serve(Handler handler) { handler_ = std::move(handler); }

    /** Calls the other duty. @pre Runs on the caller's thread. */
    boost::asio::awaitable<Result<Reply>> call(Request request)
    {
        if (waiting_.size() >= capacity_) {
            refused_.fetch_add(1, std::memory_order_relaxed);
            co_return Failure{FailureCode::Overloaded, "ring is full"};
        }
        const uint64_t id = ++lastId_;
        Waiting waiting{std::make_shared<boost::asio::steady_timer>(
                                caller_, std::chrono::steady_clock::time_point::max()),
                        std::make_shared<std::optional<Reply>>()};
        waiting_.emplace(id, waiting);
        depth_.store(waiting_.size(), std::memory_order_relaxed);
        requests_.push(Envelope<Request>{id, std::make_shared<Request>(std::move(request))});
        boost::asio::post(server_, [this]() { drainRequests(); });
        boost::system::error_code ignored;
        co_await waiting.timer->async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        if (!waiting.reply->has_value()) {
            co_return Failure{FailureCode::Ambiguous, "the other duty stopped"};
        }
        co_return std::move(waiting.reply->value());
    }

    /** @return Calls without an answer yet; may be read by any thread. */
    size_t depth() const { return depth_.load(std::memory_order_relaxed); }

    uint64_t refusedCount() const { return refused_.load(std::memory_order_relaxed); }
    size_t outstanding() const { return waiting_.size(); }

private:
    template <typename T>
    struct Envelope {
        uint64_t id = 0;
        std::shared_ptr<T> content;
    };
    struct Waiting {
        std::shared_ptr<boost::asio::steady_timer> timer; ///< Cancelled when the reply is there.
        std::shared_ptr<std::optional<Reply>> reply;
    };

    void drainRequests()
    {
        Envelope<Request> envelope;
        while (requests_.pop(envelope)) {
            boost::asio::co_spawn(server_, answer(std::move(envelope)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> answer(Envelope<Request> envelope)
    {
        auto reply = std::make_shared<Reply>(co_await handler_(std::move(*envelope.content)));
        replies_.push(Envelope<Reply>{envelope.id, std::move(reply)});
        boost::asio::post(caller_, [this]() { drainReplies(); });
    }

    void drainReplies()
    {
        Envelope<Reply> envelope;
        while (replies_.pop(envelope)) {
            const auto found = waiting_.find(envelope.id);
            found->second.reply->emplace(std::move(*envelope.content));
            found->second.timer->cancel();
            waiting_.erase(found);
            depth_.store(waiting_.size(), std::memory_order_relaxed);
        }
    }

    boost::asio::io_context &caller_;
    boost::asio::io_context &server_;
    const size_t capacity_;
    Handler handler_;
    boost::lockfree::spsc_queue<Envelope<Request>> requests_;
    boost::lockfree::spsc_queue<Envelope<Reply>> replies_;
    std::unordered_map<uint64_t, Waiting> waiting_; ///< Caller's thread only; at most capacity_.
    uint64_t lastId_ = 0;
    std::atomic<uint64_t> refused_{0};
    std::atomic<size_t> depth_{0}; ///< Size of waiting_, for readers on other threads.
};

} // namespace wisteriahoist
