/** @file response_budget.cpp Shares a limited amount of memory between responses. */

#include "adapter/http/response_budget.h"

#include <algorithm>
#include <utility>

namespace wisteriahoist {

ResponseBudget::Share::Share(ResponseBudget &budget, std::function<void()> cutOff)
    : budget_(budget), cutOff_(std::move(cutOff))
{
    budget_.shares_.insert(this);
}

ResponseBudget::Share::~Share()
{
    budget_.shares_.erase(this);
    budget_.held_ -= bytes_;
}

bool ResponseBudget::Share::resize(size_t bytes)
{
    if (isCutOff()) {
        return false;
    }
    budget_.held_ = budget_.held_ - bytes_ + bytes;
    bytes_ = bytes;
    while (budget_.held_ > budget_.limit_) {
        Share *share = budget_.largest();
        if (share == nullptr) {
            break; // All that is held waits for its receivers.
        }
        budget_.held_ -= std::exchange(share->bytes_, 0);
        std::exchange(share->cutOff_, nullptr)();
    }
    return !isCutOff();
}

ResponseBudget::Delivery::Delivery(std::shared_ptr<ResponseBudget> budget, size_t bytes)
    : budget_(std::move(budget)), bytes_(bytes)
{
    if (budget_) {
        budget_->held_ += bytes_;
    }
}

ResponseBudget::Delivery::~Delivery()
{
    if (budget_) {
        budget_->held_ -= bytes_;
    }
}

ResponseBudget::Share *ResponseBudget::largest() const
{
    Share *found = nullptr;
    for (Share *share : shares_) {
        if (!share->isCutOff() && share->bytes_ > 0
            && (found == nullptr || share->bytes_ > found->bytes_)) {
            found = share;
        }
    }
    return found;
}

} // namespace wisteriahoist
