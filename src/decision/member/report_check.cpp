/** @file report_check.cpp Validates heartbeats of backend servers. */

#include "decision/member/report_check.h"

namespace wisteriahoist {

namespace {

/** The current incarnation stays accepted when its service is removed from the configuration. */
bool isOfUnknownService(const BackendReport &report, const BackendIncarnation &present,
                        const RouteTable &routes)
{
    const bool known = report.backend == present;
    const bool configured = routes.version() > 0;
    return !known && configured && routes.findService(report.service) == nullptr;
}

/** Without a start time an incarnation can't be distinguished from earlier ones with its id. */
bool isMissingStart(const BackendReport &report, const BackendIncarnation &present)
{
    return report.backend.born == 0 && present.born != 0;
}

} // namespace

std::optional<Failure> checkReport(const BackendReport &report, const BackendIncarnation &present,
                                   const RouteTable &routes, const LocalBackend &local)
{
    if (report.address != local.address) {
        return Failure{FailureCode::Malformed,
                       "heartbeat.address: not that of this node's backend server"};
    }
    if (isOfUnknownService(report, present, routes)) {
        return Failure{FailureCode::Malformed,
                       "heartbeat.service: service is not in the configuration"};
    }
    if (report.service != local.service) {
        return Failure{FailureCode::Malformed,
                       "heartbeat.service: not that of this node's backend server"};
    }
    if (isMissingStart(report, present)) {
        return Failure{FailureCode::Malformed,
                       "heartbeat.born: missing, but present in earlier heartbeats"};
    }
    return std::nullopt;
}

} // namespace wisteriahoist
