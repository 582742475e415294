/** @file crash_ledger.h Requests under which backend servers have crashed. */

#pragma once

#include "core/time_type.h"
#include "decision/request/crash_report.h"

#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisteriahoist {

/** Limits of the ledger. */
struct CrashLimits {
    uint32_t crashes = 3; ///< After so many incarnations that have ended under it, a request is
                          ///< refused.
    /** Reports are dropped so long after the latest one of their request. */
    milliseconds lifetime{std::chrono::hours(1)};
    /** A request that was answered within this time is not held responsible for a crash. */
    milliseconds answerMemory{std::chrono::seconds(30)};
    size_t maxAnswered = 2048;  ///< Answered requests that are remembered, for each half of that
                                ///< time.
    size_t maxRequests = 4096;  ///< Requests with reports; bounds memory.
    size_t maxPublished = 64;   ///< Requests that one node publishes; bounds its member record.
    size_t maxIncarnations = 8; ///< Reports for one request.
};

/**
 * What one node knows of requests under which backend servers crash. A request that was running
 * when an incarnation ended is a suspect only: up to a slot's worth of others were running too.
 * What crashes each server that runs it is never answered, so an answer refutes all earlier
 * reports.
 *
 * Nodes tell each other their reports in their member records. Reports are only added and refuted,
 * so that they may arrive in any order and more than once. Used by one thread.
 */
class CrashLedger
{
public:
    explicit CrashLedger(CrashLimits limits = {}) : limits_(limits) { }

    /** An incarnation has ended under @p request at this node's backend server.
     *  @return Whether the request counts as a suspect. */
    bool onCrash(RequestFingerprint request, IncarnationHash backend, TimePoint now);

    /** The local backend server has answered @p request.
     *  @return Whether published() has changed. */
    bool onAnswered(RequestFingerprint request, TimePoint now);

    /** Adds what another node has published. @return Whether published() has changed. */
    bool onReports(const std::vector<CrashReport> &reports, TimePoint now);

    /** Adds what this node published before it was restarted, and publishes it again. */
    void onOwnReports(const std::vector<CrashReport> &reports, TimePoint now);

    /** @return Whether @p request must not reach another backend server. */
    bool isRefused(RequestFingerprint request, TimePoint now) const;

    /** @return How long @p request is still refused, if no report is added. */
    milliseconds refusedFor(RequestFingerprint request, TimePoint now) const;

    /** @return Number of incarnations that have ended under @p request and still count. */
    uint32_t crashesOf(RequestFingerprint request) const;

    /** @return What this node tells others, in a fixed order. */
    std::vector<CrashReport> published(TimePoint now) const;

    bool empty() const { return entries_.empty(); }

    /** @return Number of requests that are refused. */
    size_t refusedRequests(TimePoint now) const;

private:
    /** The reports for one request. */
    struct Entry {
        std::map<IncarnationHash, bool> reports; ///< By incarnation: whether an answer refutes it.
        TimePoint latest = NeverTime;            ///< When the newest report was learned.
        bool publishes = false;                  ///< This node tells others of it.

        uint32_t count() const;
    };

    using Entries = std::unordered_map<RequestFingerprint, Entry>;

    bool isExpired(const Entry &entry, TimePoint now) const
    {
        return now - entry.latest >= limits_.lifetime;
    }
    Entry &entryOf(RequestFingerprint request, TimePoint now);
    bool add(Entry &entry, const CrashReport &report, TimePoint now) const;
    bool refute(Entry &entry) const;
    void makeRoom(TimePoint now);
    bool wasAnswered(RequestFingerprint request, TimePoint now) const;
    void rememberAnswer(RequestFingerprint request, TimePoint now);

    CrashLimits limits_;
    Entries entries_;
    /// Requests answered in the present and in the previous half of the answer memory.
    std::unordered_set<RequestFingerprint> answered_;
    std::unordered_set<RequestFingerprint> answeredBefore_;
    TimePoint halfBegan_ = NeverTime;
};

} // namespace wisteriahoist
