/** @file liveness_evidence.h What shows that a backend server does not leave, if nobody knows any
 * more what earlier processes of its node have acknowledged. */

#pragma once

#include "decision/member/member_type.h"

#include <string>

namespace wisteriahoist {

/** What is enough to use a backend server. */
struct EvidenceLimits {
    /** A heartbeat arrives at most so long after it was sent. */
    milliseconds maxReportDelay{5000};
    /** Heartbeats beside a healthy answer if the store did not answer when the process started:
     *  one of them may have been sent before the backend server began to leave. */
    uint32_t reportsAfterOutage = 2;
    /** Heartbeats without a healthy answer, the last one of them sent to this process. */
    uint32_t reportsAlone = 3;
};

/**
 * Evidence that the backend server stays, collected by a process that has just started.
 *
 * A backend server that has deregistered sends no more heartbeats, but earlier ones may arrive
 * late; its health answers say that it leaves, but they may be wrong, as may those of a sound one.
 * So neither a heartbeat nor an answer is enough alone; heartbeats that keep arriving are.
 */
class LivenessEvidence
{
public:
    /** @param heartbeat Interval in which the backend server sends heartbeats. */
    LivenessEvidence(EvidenceLimits limits, milliseconds heartbeat, TimePoint startedAt)
        : limits_(limits), heartbeat_(heartbeat), startedAt_(startedAt)
    { }

    /** The store did not answer when the process started, so an earlier process may have
     *  acknowledged what the store does not have. */
    void onStoreOutage() { storeOutage_ = true; }
    bool sawStoreOutage() const { return storeOutage_; }

    /** @param report The newest one of the current incarnation. */
    void onReport(const BackendReport &report, TimePoint now);

    /** The backend server answered as @p backend that it is healthy. */
    void onHealthy(const std::string &backend) { healthy_ = backend; }

    bool isHealthy(const BackendIncarnation &backend) const
    {
        return !backend.empty() && healthy_ == backend.id;
    }

    /** @return Whether @p backend is known to stay. */
    bool suffices(const BackendIncarnation &backend) const;

    /** @return Heartbeats that count: of one incarnation, and not several that were held up on
     *          their way and arrive together. */
    uint32_t reports() const { return reports_; }

private:
    EvidenceLimits limits_;
    milliseconds heartbeat_;
    TimePoint startedAt_;
    bool storeOutage_ = false;
    std::string healthy_;        ///< Id that the last healthy answer named; empty: none.
    BackendIncarnation backend_; ///< Invariant: the one that reports_ and lastAt_ are about.
    uint32_t reports_ = 0;
    TimePoint lastAt_ = NeverTime; ///< Arrival of the last one that counts.
};

} // namespace wisteriahoist
