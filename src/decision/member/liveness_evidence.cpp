/** @file liveness_evidence.cpp What shows that a backend server does not leave. */

#include "decision/member/liveness_evidence.h"

namespace wisteriahoist {

void LivenessEvidence::onReport(const BackendReport &report, TimePoint now)
{
    if (report.backend != backend_) {
        backend_ = report.backend;
        reports_ = 0;
        lastAt_ = NeverTime;
    }
    if (now - lastAt_ < heartbeat_ / 2) {
        return;
    }
    ++reports_;
    lastAt_ = now;
}

bool LivenessEvidence::suffices(const BackendIncarnation &backend) const
{
    if (backend.empty() || backend != backend_) {
        return false;
    }
    if (isHealthy(backend)) {
        return reports_ >= (storeOutage_ ? limits_.reportsAfterOutage : 1);
    }
    return reports_ >= limits_.reportsAlone && lastAt_ - startedAt_ >= limits_.maxReportDelay;
}

} // namespace wisteriahoist
