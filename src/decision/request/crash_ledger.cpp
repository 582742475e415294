/** @file crash_ledger.cpp Requests under which backend servers have crashed. */

#include "decision/request/crash_ledger.h"

#include "core/hash_func.h"

#include <algorithm>
#include <tuple>

namespace wisteriahoist {

IncarnationHash hashIncarnation(const BackendIncarnation &backend)
{
    return IncarnationHash(hashKey(backend.id, backend.born).value());
}

uint32_t CrashLedger::Entry::count() const
{
    return static_cast<uint32_t>(std::count_if(reports.begin(), reports.end(),
                                               [](const auto &report) { return !report.second; }));
}

bool CrashLedger::onCrash(RequestFingerprint request, IncarnationHash backend, TimePoint now)
{
    if (wasAnswered(request, now)) {
        return false;
    }
    Entry &entry = entryOf(request, now);
    entry.publishes = true;
    add(entry, {request, backend, false}, now);
    return true;
}

bool CrashLedger::onAnswered(RequestFingerprint request, TimePoint now)
{
    rememberAnswer(request, now);
    const auto found = entries_.find(request);
    return found != entries_.end() && refute(found->second);
}

bool CrashLedger::onReports(const std::vector<CrashReport> &reports, TimePoint now)
{
    bool changed = false;
    for (const CrashReport &report : reports) {
        Entry &entry = entryOf(report.request, now);
        const bool added = add(entry, report, now);
        const bool refuted = wasAnswered(report.request, now) && refute(entry);
        changed = changed || (added && entry.publishes) || refuted;
    }
    return changed;
}

void CrashLedger::onOwnReports(const std::vector<CrashReport> &reports, TimePoint now)
{
    for (const CrashReport &report : reports) {
        Entry &entry = entryOf(report.request, now);
        entry.publishes = true;
        add(entry, report, now);
    }
}

uint32_t CrashLedger::crashesOf(RequestFingerprint request) const
{
    const auto found = entries_.find(request);
    return found == entries_.end() ? 0 : found->second.count();
}

bool CrashLedger::isRefused(RequestFingerprint request, TimePoint now) const
{
    return refusedFor(request, now) > milliseconds(0);
}

milliseconds CrashLedger::refusedFor(RequestFingerprint request, TimePoint now) const
{
    const auto found = entries_.find(request);
    if (found == entries_.end() || found->second.count() < limits_.crashes) {
        return milliseconds(0);
    }
    const auto age = std::chrono::duration_cast<milliseconds>(now - found->second.latest);
    return std::max(limits_.lifetime - age, milliseconds(0));
}

size_t CrashLedger::refusedRequests(TimePoint now) const
{
    return static_cast<size_t>(
            std::count_if(entries_.begin(), entries_.end(), [&](const auto &item) {
                return item.second.count() >= limits_.crashes && !isExpired(item.second, now);
            }));
}

std::vector<CrashReport> CrashLedger::published(TimePoint now) const
{
    std::vector<const Entries::value_type *> chosen;
    for (const auto &item : entries_) {
        if (item.second.publishes && !isExpired(item.second, now)) {
            chosen.push_back(&item);
        }
    }
    // A request that has crashed several servers is told before those that may only have been
    // running beside it.
    std::sort(chosen.begin(), chosen.end(), [](const auto *left, const auto *right) {
        const Entry &a = left->second;
        const Entry &b = right->second;
        return std::tuple(b.count(), b.latest, right->first)
               < std::tuple(a.count(), a.latest, left->first);
    });
    chosen.resize(std::min(chosen.size(), limits_.maxPublished));
    std::sort(chosen.begin(), chosen.end(),
              [](const auto *left, const auto *right) { return left->first < right->first; });
    std::vector<CrashReport> reports;
    for (const auto *item : chosen) {
        for (const auto &[backend, refuted] : item->second.reports) {
            reports.push_back({item->first, backend, refuted});
        }
    }
    return reports;
}

CrashLedger::Entry &CrashLedger::entryOf(RequestFingerprint request, TimePoint now)
{
    const auto found = entries_.find(request);
    if (found != entries_.end() && !isExpired(found->second, now)) {
        return found->second;
    }
    entries_.erase(request);
    makeRoom(now);
    Entry &entry = entries_[request];
    entry.latest = now;
    return entry;
}

/** @return Whether @p report was not known. */
bool CrashLedger::add(Entry &entry, const CrashReport &report, TimePoint now) const
{
    const auto found = entry.reports.find(report.backend);
    if (found != entry.reports.end()) {
        const bool changed = report.refuted && !found->second;
        found->second = found->second || report.refuted;
        return changed;
    }
    if (entry.reports.size() >= limits_.maxIncarnations) {
        // Refuted reports make room, so that a request that was answered for long can still be
        // found to crash servers.
        const auto refuted = std::find_if(entry.reports.begin(), entry.reports.end(),
                                          [](const auto &known) { return known.second; });
        if (refuted == entry.reports.end()) {
            return false;
        }
        entry.reports.erase(refuted);
    }
    entry.reports[report.backend] = report.refuted;
    entry.latest = now;
    return true;
}

/** @return Whether other nodes must be told. */
bool CrashLedger::refute(Entry &entry) const
{
    if (entry.count() == 0) {
        return false;
    }
    for (auto &report : entry.reports) {
        report.second = true;
    }
    // With fewer reports nothing would be refused soon, and each record told costs all nodes a
    // message.
    entry.publishes = entry.publishes || entry.reports.size() + 1 >= limits_.crashes;
    return entry.publishes;
}

void CrashLedger::makeRoom(TimePoint now)
{
    if (entries_.size() < limits_.maxRequests) {
        return;
    }
    std::erase_if(entries_, [&](const auto &item) { return isExpired(item.second, now); });
    if (entries_.size() < limits_.maxRequests) {
        return;
    }
    entries_.erase(std::min_element(
            entries_.begin(), entries_.end(), [](const auto &left, const auto &right) {
                return std::tuple(left.second.count(), left.second.latest)
                       < std::tuple(right.second.count(), right.second.latest);
            }));
}

bool CrashLedger::wasAnswered(RequestFingerprint request, TimePoint now) const
{
    const Duration half = Duration(limits_.answerMemory) / 2;
    const bool present = now - halfBegan_ < half * 2 && answered_.count(request) > 0;
    return present || (now - halfBegan_ < half && answeredBefore_.count(request) > 0);
}

void CrashLedger::rememberAnswer(RequestFingerprint request, TimePoint now)
{
    const Duration since = now - halfBegan_;
    if (since >= limits_.answerMemory) {
        answered_.clear();
    }
    if (since >= Duration(limits_.answerMemory) / 2 || answered_.size() >= limits_.maxAnswered) {
        answeredBefore_ = std::move(answered_);
        answered_.clear();
        halfBegan_ = now;
    }
    answered_.insert(request);
}

} // namespace wisteriahoist
