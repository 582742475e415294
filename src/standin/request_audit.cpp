/** @file request_audit.cpp Compares callers' answers with the backend servers' own logs. */

#include "standin/request_audit.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/**
 * A run is by a wrong owner if another server ran the key under the same epoch, or had started a
 * run of the key under a higher epoch before this one started.
 */
uint64_t countWrongOwners(std::vector<ServerRecord> runs)
{
    std::erase_if(runs, [](const ServerRecord &run) { return run.key.empty(); });
    std::sort(runs.begin(), runs.end(), [](const ServerRecord &left, const ServerRecord &right) {
        return left.startedUs < right.startedUs;
    });
    uint64_t wrong = 0;
    std::map<std::pair<std::string, uint64_t>, uint64_t> owners;
    std::map<std::string, uint64_t> highestEpoch;
    for (const ServerRecord &run : runs) {
        const auto entry = owners.try_emplace({run.key, run.epoch}, run.server).first;
        uint64_t &highest = highestEpoch[run.key];
        wrong += entry->second != run.server || run.epoch < highest ? 1 : 0;
        highest = std::max(highest, run.epoch);
    }
    return wrong;
}

} // namespace

AuditResult auditRequests(const std::vector<CallerRecord> &callers,
                          const std::vector<ServerRecord> &runs)
{
    AuditResult result;
    std::map<std::string, uint64_t> runCount;
    std::map<std::string, uint64_t> finishedCount;
    for (const ServerRecord &run : runs) {
        ++runCount[run.requestId];
        finishedCount[run.requestId] += run.finished ? 1 : 0;
    }
    result.wrongOwner = countWrongOwners(runs);
    for (const CallerRecord &caller : callers) {
        ++result.requests;
        const uint64_t ran = runCount[caller.requestId];
        if (ran > 1) {
            ++(caller.mustNotRepeat ? result.duplicated : result.repeated);
        }
        switch (caller.outcome) {
        case ToldOutcome::Done:
            ++result.answered;
            result.lost += finishedCount[caller.requestId] == 0 || !caller.ownBytes ? 1 : 0;
            break;
        case ToldOutcome::NotRun:
            ++result.notRun;
            result.notRunButRan += ran > 0 ? 1 : 0;
            break;
        case ToldOutcome::Unknown:
            ++result.unknown;
            break;
        }
    }
    return result;
}

} // namespace wisteriahoist
