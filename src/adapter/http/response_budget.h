/** @file response_budget.h Shares a limited amount of memory between the responses that a process
 * holds. */

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace wisteriahoist {

/**
 * Bounds the bytes held for all responses together, those that are being received and those that
 * wait until their receiver has read them. If one that is being received needs more than is left,
 * the largest of these is cut off, so that responses without end don't take the room of others.
 * Used by one thread.
 */
class ResponseBudget
{
public:
    explicit ResponseBudget(size_t limit) : limit_(limit) { }

    size_t held() const { return held_; }

    /** The bytes of one response that is being received; given back when it is destroyed. */
    class Share
    {
    public:
        /** @param cutOff Frees the bytes of the response and makes it end. */
        Share(ResponseBudget &budget, std::function<void()> cutOff);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** @return Whether the response may go on, now with @p bytes. */
        bool resize(size_t bytes);

        bool isCutOff() const { return cutOff_ == nullptr; }

    private:
        friend class ResponseBudget;
        ResponseBudget &budget_;
        size_t bytes_ = 0;
        std::function<void()> cutOff_; ///< Empty: has been called.
    };

    /** The bytes of a complete response until its receiver has read it; it isn't cut off. */
    class Delivery
    {
    public:
        Delivery(std::shared_ptr<ResponseBudget> budget, size_t bytes);
        ~Delivery();
        Delivery(const Delivery &) = delete;
        Delivery &operator=(const Delivery &) = delete;

    private:
        std::shared_ptr<ResponseBudget> budget_; ///< nullptr: not limited.
        size_t bytes_;
    };

private:
    /** @return The largest share that is not cut off; nullptr: none has any bytes. */
    Share *largest() const;

    size_t limit_;
    size_t held_ = 0;
    std::set<Share *> shares_;
};

} // namespace wisteriahoist
