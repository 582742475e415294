/** @file report_check.cpp Which heartbeats a node believes. */

#include "decision/member/report_check.h"

namespace wisteriahoist {

namespace {

/** The present life stays believed when its service leaves the configuration. */
bool isOfUnknownService(const BackendReport &report, const BackendIncarnation &present,
                        const RouteTable &routes)
{
    const bool known = report.backend == present;
    const bool configured = routes.version() > 0;
    return !known && configured && routes.findService(report.service) == nullptr;
}

/** Without its start a life cannot be told from an earlier one of the same id. */
bool concealsItsStart(const BackendReport &report, const BackendIncarnation &present)
{
    return report.backend.born == 0 && present.born != 0;
}

} // namespace

std::optional<Failure> checkReport(const BackendReport &report, const BackendIncarnation &present,
                                   const RouteTable &routes)
{
    if (isOfUnknownService(report, present, routes)) {
        return Failure{FailureCode::Malformed, "heartbeat.service: not in the configuration"};
    }
    if (concealsItsStart(report, present)) {
        return Failure{FailureCode::Malformed, "heartbeat.born: missing, earlier ones had it"};
    }
    return std::nullopt;
}

} // namespace wisteriahoist
