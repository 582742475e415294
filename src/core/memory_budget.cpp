/** @file memory_budget.cpp Shares a limited amount of memory between received messages. */

#include "core/memory_budget.h"

#include <utility>

namespace wisteriahoist {

namespace {

/** Part of the budget that only small messages may use: one in this many. */
constexpr size_t SmallShare = 8;

} // namespace

bool MemoryBudget::change(size_t before, size_t after)
{
    const size_t held = held_ - before + after;
    const size_t heldByLarge = heldByLarge_ - countedAsLarge(before) + countedAsLarge(after);
    const bool fits = held <= limit_ && heldByLarge <= limit_ - limit_ / SmallShare;
    if (after > before && !fits) {
        ++refused_;
        return false;
    }
    held_ = held;
    heldByLarge_ = heldByLarge;
    return true;
}

MemoryBudget::Reservation::Reservation(Reservation &&other) noexcept
    : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0))
{ }

MemoryBudget::Reservation &MemoryBudget::Reservation::operator=(Reservation &&other) noexcept
{
    if (this != &other) {
        (void)resize(0);
        budget_ = std::move(other.budget_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

MemoryBudget::Reservation::~Reservation()
{
    (void)resize(0);
}

bool MemoryBudget::Reservation::resize(size_t bytes)
{
    if (budget_ && !budget_->change(bytes_, bytes)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

} // namespace wisteriahoist
