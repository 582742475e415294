/** @file memory_budget.h Shares a limited amount of memory between the messages that a process
 * receives. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace wisteriahoist {

/**
 * Bounds the memory of all requests that the process holds: bodies, and what is buffered for
 * connections. What does not fit is not taken, so the sender can be told at once. An eighth is kept
 * for small messages, so that large bodies do not stop all other traffic. Used by one thread.
 */
class MemoryBudget
{
public:
    /** Messages up to this size may use the part that is kept for them, in bytes. */
    static constexpr size_t SmallBytes = 64 * 1024;

    /** @param limit Bytes that may be held at the same time. */
    explicit MemoryBudget(size_t limit) : limit_(limit) { }

    size_t held() const { return held_; }
    size_t limit() const { return limit_; }
    /** @return Number of times that there was no room. */
    uint64_t refused() const { return refused_; }

    /** The bytes of one message; given back when it is destroyed. */
    class Reservation
    {
    public:
        Reservation() = default; ///< Of no budget: takes any number of bytes.
        explicit Reservation(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) { }
        Reservation(Reservation &&other) noexcept;
        Reservation &operator=(Reservation &&other) noexcept;
        ~Reservation();

        /** @return Whether the message may have @p bytes; if not, it keeps what it has. */
        bool resize(size_t bytes);

        size_t bytes() const { return bytes_; }

    private:
        std::shared_ptr<MemoryBudget> budget_; ///< nullptr: not limited.
        size_t bytes_ = 0;
    };

private:
    static size_t countedAsLarge(size_t bytes) { return bytes > SmallBytes ? bytes : 0; }
    /** Changes the bytes of one message. @return Whether there is room. */
    bool change(size_t before, size_t after);

    size_t limit_;
    size_t held_ = 0;        ///< Invariant: at most limit_.
    size_t heldByLarge_ = 0; ///< Of messages above SmallBytes.
    uint64_t refused_ = 0;
};

} // namespace wisteriahoist
