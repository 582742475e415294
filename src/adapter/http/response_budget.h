/** @file response_budget.h Shares a limited amount of memory between the responses that are being
 * received. */

#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace wisteriahoist {

/**
 * Bounds the bytes held for all responses together. If one needs more than is left, the largest is
 * cut off, so that responses without end don't take the room of others. Used by one thread.
 */
class ResponseBudget
{
public:
    explicit ResponseBudget(size_t limit) : limit_(limit) { }

    size_t held() const { return held_; }

    /** The bytes of one response; given back when it is destroyed. */
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

private:
    /** @return The largest share that is not cut off; nullptr: none. */
    Share *largest() const;

    size_t limit_;
    size_t held_ = 0;
    std::set<Share *> shares_;
};

} // namespace wisteriahoist
