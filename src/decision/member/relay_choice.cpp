/** @file relay_choice.cpp Chooses the nodes through which another node calls the store. */

#include "decision/member/relay_choice.h"

#include "decision/member/node_rank.h"

#include <algorithm>
#include <tuple>

namespace wisteriahoist {

std::vector<NodeId> RelayChoice::candidates(const std::map<NodeId, MemberRecord> &members,
                                            TimePoint now) const
{
    /// Sorts before another one that is worse.
    using Rank = std::tuple<TimePoint, bool, uint64_t>;
    std::vector<std::pair<Rank, NodeId>> ranked;
    for (const auto &[node, member] : members) {
        if (node == self_ || member.stopping) {
            continue;
        }
        const auto failed = failedAt_.find(node);
        const bool isSkipped = failed != failedAt_.end() && now - failed->second < limits_.skipTime;
        ranked.emplace_back(Rank(isSkipped ? failed->second : NeverTime, node != current_,
                                 rankNode(node, self_.value())),
                            node);
    }
    const size_t count = std::min(ranked.size(), limits_.maxTried);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end());
    std::vector<NodeId> chosen;
    for (size_t index = 0; index < count; ++index) {
        chosen.push_back(ranked[index].second);
    }
    return chosen;
}

bool RelayChoice::onSuccess(NodeId node)
{
    failedAt_.erase(node);
    return std::exchange(current_, node) != node;
}

void RelayChoice::onFailure(NodeId node, TimePoint now)
{
    std::erase_if(failedAt_,
                  [&](const auto &entry) { return now - entry.second >= limits_.skipTime; });
    failedAt_[node] = now;
    if (current_ == node) {
        current_ = InvalidNode;
    }
}

} // namespace wisteriahoist
