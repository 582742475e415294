/** @file feeder_choice.cpp Which nodes watch the store for all, and whom a node follows. */

#include "decision/member/feeder_choice.h"

#include "core/hash_func.h"

#include <algorithm>
#include <vector>

namespace wisteriahoist {

namespace {

uint64_t rankHash(NodeId node, uint64_t seed)
{
    return hashKey(std::to_string(node.value()), seed).value();
}

/** @return The feeders of a fleet, the strongest first. */
std::vector<const MemberRecord *> findFeeders(const std::map<NodeId, MemberRecord> &members,
                                              const FeederLimits &limits)
{
    std::vector<const MemberRecord *> ranked;
    for (const auto &[node, member] : members) {
        if (!member.stopping) {
            ranked.push_back(&member);
        }
    }
    const size_t wanted = (ranked.size() + limits.followers - 1) / limits.followers;
    const auto isStronger = [](const MemberRecord *left, const MemberRecord *right) {
        const auto rankOf = [](const MemberRecord *member) {
            return std::pair(-member->cpuShare, rankHash(member->node, 0));
        };
        return rankOf(left) < rankOf(right);
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
    if (members.size() < limits.leastMembers) {
        return std::nullopt;
    }
    const MemberRecord *best = nullptr;
    const auto rankOf = [&](const MemberRecord *feeder) {
        return std::pair(feeder->failureDomain != failureDomain,
                         rankHash(feeder->node, self.value()));
    };
    for (const MemberRecord *feeder : findFeeders(members, limits)) {
        if (feeder->node == self) {
            return std::nullopt;
        }
        if (isUsable(feeder->node) && (best == nullptr || rankOf(feeder) < rankOf(best))) {
            best = feeder;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<NodeId>(best->node);
}

} // namespace wisteriahoist
