/** @file evacuation_table.cpp Failure domains to whose backend servers nothing may be sent. */

#include "decision/routing/evacuation_table.h"

#include <algorithm>

namespace wisteriahoist {

bool EvacuationTable::onListing(const std::map<std::string, uint64_t> &domains, uint64_t at,
                                TimePoint now)
{
    if (at < at_) {
        return false;
    }
    at_ = at;
    bool changed = !isKnown_;
    isKnown_ = true;
    changed |= std::erase_if(domains_,
                             [&](const auto &entry) { return domains.count(entry.first) == 0; })
               > 0;
    for (const auto &[domain, revision] : domains) {
        changed |= domains_.try_emplace(domain, Evacuation{revision, now, false}).second;
    }
    changes_ += changed ? 1 : 0;
    return changed;
}

bool EvacuationTable::onChange(const std::string &domain, bool removed, uint64_t at, TimePoint now)
{
    if (at < at_) {
        return false;
    }
    at_ = at;
    const bool changed = removed ? domains_.erase(domain) > 0
                                 : domains_.try_emplace(domain, Evacuation{at, now, true}).second;
    changes_ += changed ? 1 : 0;
    return changed;
}

std::string EvacuationTable::text() const
{
    std::string names;
    for (const auto &[domain, evacuation] : domains_) {
        names += (names.empty() ? "" : " ") + domain;
    }
    return names;
}

EvacuationPhase EvacuationTable::phaseOf(const std::string &domain, milliseconds leavingTime,
                                         TimePoint now) const
{
    if (!isKnown_) {
        return EvacuationPhase::Closed;
    }
    const auto found = domains_.find(domain);
    if (found == domains_.end()) {
        return EvacuationPhase::None;
    }
    const Evacuation &evacuation = found->second;
    return evacuation.announced && now - evacuation.since < leavingTime ? EvacuationPhase::Leaving
                                                                        : EvacuationPhase::Closed;
}

} // namespace wisteriahoist
