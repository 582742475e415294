/** @file request_audit.cpp Compares callers' answers with the backend servers' own logs. */

#include "standin/request_audit.h"

namespace wisteriahoist {

namespace {

uint64_t countWrongOwners(const std::vector<ServerRecord> &runs)
{
    uint64_t wrong = 0;
    std::map<std::pair<std::string, uint64_t>, uint64_t> owners;
    for (const ServerRecord &run : runs) {
        if (run.key.empty()) {
            continue;
        }
        const auto [entry, fresh] = owners.try_emplace({run.key, run.epoch}, run.server);
        wrong += !fresh && entry->second != run.server ? 1 : 0;
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
        result.duplicated += ran > 1 ? 1 : 0;
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
