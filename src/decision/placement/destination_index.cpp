/** @file destination_index.cpp Finds the least loaded instance, balanced over failure domains. */

#include "decision/placement/destination_index.h"

namespace wisteriahoist {

namespace {

/** Weight of the domain's load relative to the instance's: decides between similar instances. */
constexpr double DomainWeight = 0.05;
constexpr int CandidatesTried = 8; ///< Per domain; limits the cost of one search.

} // namespace

DestinationIndex::DestinationIndex(PlacementModel &model, const Filter &usable)
    : model_(model), domains_(model.domainCount()), domainLoad_(model.domainCount(), 0.0),
      domainCapacity_(model.domainCount(), 0.0), indexed_(model.instances().size(), false)
{
    for (uint32_t index = 0; index < indexed_.size(); ++index) {
        const InstanceState &instance = model.instances()[index];
        domainLoad_[instance.domain] += instance.load;
        domainCapacity_[instance.domain] += instance.capacity;
        indexed_[index] = instance.capacity > 0 && usable(instance);
        if (indexed_[index]) {
            insert(index);
        }
    }
}

uint32_t DestinationIndex::find(const Filter &accepts) const
{
    uint32_t best = NoInstance;
    double bestScore = 0;
    for (size_t domain = 0; domain < domains_.size(); ++domain) {
        int tried = 0;
        for (const auto &[relative, index] : domains_[domain]) {
            if (++tried > CandidatesTried) {
                break;
            }
            if (!accepts(model_.instances()[index])) {
                continue;
            }
            const double score
                    = relative + DomainWeight * domainLoad_[domain] / domainCapacity_[domain];
            if (best == NoInstance || score < bestScore) {
                best = index;
                bestScore = score;
            }
            break;
        }
    }
    return best;
}

void DestinationIndex::place(size_t index, uint32_t to)
{
    const RangeState &range = model_.ranges()[index];
    const uint32_t from = range.instance;
    const double weight = model_.weightOf(range);
    if (from != NoInstance) {
        remove(from);
        domainLoad_[model_.instances()[from].domain] -= weight;
    }
    remove(to);
    domainLoad_[model_.instances()[to].domain] += weight;
    model_.place(index, to);
    if (from != NoInstance) {
        insert(from);
    }
    insert(to);
}

void DestinationIndex::remove(uint32_t instance)
{
    if (indexed_[instance]) {
        const InstanceState &state = model_.instances()[instance];
        domains_[state.domain].erase({state.relative(), instance});
    }
}

void DestinationIndex::insert(uint32_t instance)
{
    if (indexed_[instance]) {
        const InstanceState &state = model_.instances()[instance];
        domains_[state.domain].insert({state.relative(), instance});
    }
}

} // namespace wisteriahoist
