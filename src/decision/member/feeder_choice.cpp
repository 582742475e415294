/** @file feeder_choice.cpp Chooses the nodes that watch the store on behalf of others. */

#include "decision/member/feeder_choice.h"

#include "decision/member/node_rank.h"

#include <algorithm>
#include <vector>

namespace wisteriahoist {

namespace {

/** @return The feeders of a fleet, strongest first. @param isUsable Whether a node may be one. */
std::vector<const MemberRecord *> findFeeders(const std::map<NodeId, MemberRecord> &members,
                                              const std::function<bool(NodeId)> &isUsable,
                                              const FeederLimits &limits)
{
    std::vector<const MemberRecord *> ranked;
    size_t count = 0;
    for (const auto &[node, member] : members) {
        count += member.stopping ? 0 : 1;
        if (!member.stopping && isUsable(node)) {
            ranked.push_back(&member);
        }
    }
    const size_t wanted
            = std::min((count + limits.followers - 1) / limits.followers, ranked.size());
    const auto isStronger = [](const MemberRecord *left, const MemberRecord *right) {
        if (left->cpuShare != right->cpuShare) {
            return left->cpuShare > right->cpuShare;
        }
        return rankNode(left->node, 0) < rankNode(right->node, 0);
    };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(wanted), ranked.end(),
                      isStronger);
    ranked.resize(wanted);
    return ranked;
}

} // namespace

std::optional<NodeId> chooseFeeder(const std::map<NodeId, MemberRecord> &members, NodeId self,
                                   const std::string &failureDomain,
                                   const std::function<bool(NodeId)> &isUsable,
                                   const FeederLimits &limits)
{
    if (members.size() < limits.minMembers) {
        return std::nullopt;
    }
    const MemberRecord *best = nullptr;
    const auto rankOf = [&](const MemberRecord *feeder) {
        return std::pair(feeder->failureDomain != failureDomain,
                         rankNode(feeder->node, self.value()));
    };
    const auto mayFeed = [&](NodeId node) { return node == self || isUsable(node); };
    for (const MemberRecord *feeder : findFeeders(members, mayFeed, limits)) {
        if (feeder->node == self) {
            return std::nullopt;
        }
        if (best == nullptr || rankOf(feeder) < rankOf(best)) {
            best = feeder;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<NodeId>(best->node);
}

} // namespace wisteriahoist
