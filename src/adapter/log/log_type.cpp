/** @file log_type.cpp Names and severities of the log events. */

#include "adapter/log/log_type.h"

#include <array>

namespace wisteriahoist {

namespace {

struct EventRow {
    LogEvent event;
    std::string_view name;
    LogSeverity severity;
};

constexpr std::array<EventRow, static_cast<size_t>(LogEvent::Last) + 1> EventTable{{
        {LogEvent::NodeStarted, "node-started", LogSeverity::Info},
        {LogEvent::NodeStopping, "node-stopping", LogSeverity::Info},
        {LogEvent::NodeStopped, "node-stopped", LogSeverity::Info},
        {LogEvent::TermWon, "term-won", LogSeverity::Info},
        {LogEvent::TermLost, "term-lost", LogSeverity::Warning},
        {LogEvent::TermObserved, "term-observed", LogSeverity::Info},
        {LogEvent::CampaignLost, "campaign-lost", LogSeverity::Info},
        {LogEvent::LeaseGained, "lease-gained", LogSeverity::Info},
        {LogEvent::LeaseLost, "lease-lost", LogSeverity::Warning},
        {LogEvent::RosterChanged, "roster-changed", LogSeverity::Info},
        {LogEvent::MemberLost, "member-lost", LogSeverity::Warning},
        {LogEvent::AssignmentWritten, "assignment-written", LogSeverity::Info},
        {LogEvent::AssignmentInForce, "assignment-in-force", LogSeverity::Info},
        {LogEvent::ConfigAccepted, "config-accepted", LogSeverity::Info},
        {LogEvent::ConfigInForce, "config-in-force", LogSeverity::Info},
        {LogEvent::ConfigRefused, "config-refused", LogSeverity::Warning},
        {LogEvent::BackendAnnounced, "backend-announced", LogSeverity::Info},
        {LogEvent::BackendDraining, "backend-draining", LogSeverity::Info},
        {LogEvent::BackendSilent, "backend-silent", LogSeverity::Warning},
        {LogEvent::DrainStarted, "drain-started", LogSeverity::Info},
        {LogEvent::DrainFinished, "drain-finished", LogSeverity::Info},
        {LogEvent::ObjectMalformed, "object-malformed", LogSeverity::Error},
        {LogEvent::PlatformUnavailable, "platform-unavailable", LogSeverity::Error},
        {LogEvent::PlatformBack, "platform-back", LogSeverity::Info},
        {LogEvent::PeerRefused, "peer-refused", LogSeverity::Warning},
        {LogEvent::OperatorRefused, "operator-refused", LogSeverity::Warning},
        {LogEvent::OperatorChange, "operator-change", LogSeverity::Info},
        {LogEvent::TraceExportFailing, "trace-export-failing", LogSeverity::Warning},
        {LogEvent::TraceExportBack, "trace-export-back", LogSeverity::Info},
        {LogEvent::RequestEnded, "request-ended", LogSeverity::Info},
        {LogEvent::BackendChanged, "backend-changed", LogSeverity::Info},
        {LogEvent::BackendDoubted, "backend-doubted", LogSeverity::Warning},
        {LogEvent::BackendIdentified, "backend-identified", LogSeverity::Info},
        {LogEvent::ReportRefused, "report-refused", LogSeverity::Warning},
        {LogEvent::ReportIgnored, "report-ignored", LogSeverity::Warning},
        {LogEvent::GrantRefused, "grant-refused", LogSeverity::Warning},
        {LogEvent::LeaseRevoked, "lease-revoked", LogSeverity::Warning},
        {LogEvent::RangeLeaving, "range-leaving", LogSeverity::Info},
        {LogEvent::RangeGivenOn, "range-given-on", LogSeverity::Info},
        {LogEvent::HandOverPrevented, "hand-over-prevented", LogSeverity::Warning},
        {LogEvent::RangesOffered, "ranges-offered", LogSeverity::Info},
        {LogEvent::RangesChanging, "ranges-changing", LogSeverity::Info},
        {LogEvent::RangesWritten, "ranges-written", LogSeverity::Info},
        {LogEvent::RangesNotWritten, "ranges-not-written", LogSeverity::Warning},
        {LogEvent::RangesLeftOut, "ranges-left-out", LogSeverity::Error},
        {LogEvent::MemberPublished, "member-published", LogSeverity::Info},
        {LogEvent::LeavingKept, "leaving-kept", LogSeverity::Info},
        {LogEvent::LeavingRestored, "leaving-restored", LogSeverity::Info},
        {LogEvent::LeavingUncertain, "leaving-uncertain", LogSeverity::Warning},
        {LogEvent::LeavingRuledOut, "leaving-ruled-out", LogSeverity::Info},
        {LogEvent::LeavingNotAcknowledged, "leaving-not-acknowledged", LogSeverity::Warning},
        {LogEvent::NodeFailed, "node-failed", LogSeverity::Error},
        {LogEvent::AddressAwaited, "address-awaited", LogSeverity::Warning},
        {LogEvent::NodeFenced, "node-fenced", LogSeverity::Warning},
        {LogEvent::WatchSilent, "watch-silent", LogSeverity::Warning},
        {LogEvent::FeederLost, "feeder-lost", LogSeverity::Warning},
        {LogEvent::StoreRelayed, "store-relayed", LogSeverity::Warning},
        {LogEvent::StoreRelaying, "store-relaying", LogSeverity::Info},
        {LogEvent::ConfigSyncFailed, "config-sync-failed", LogSeverity::Warning},
        {LogEvent::RouteUnknown, "route-unknown", LogSeverity::Info},
        {LogEvent::RequestRefused, "request-refused", LogSeverity::Info},
        {LogEvent::TaskFailed, "task-failed", LogSeverity::Error},
        {LogEvent::LoopStalled, "loop-stalled", LogSeverity::Warning},
        {LogEvent::EvacuationsChanged, "evacuations-changed", LogSeverity::Info},
        {LogEvent::BackendLimitChanged, "backend-limit-changed", LogSeverity::Info},
        {LogEvent::ColdLimitChanged, "cold-limit-changed", LogSeverity::Info},
        {LogEvent::BackendLimitMalformed, "backend-limit-malformed", LogSeverity::Warning},
        {LogEvent::CrashSuspected, "crash-suspected", LogSeverity::Warning},
        {LogEvent::CrashesRefused, "crashes-refused", LogSeverity::Error},
        {LogEvent::SettingsReloaded, "settings-reloaded", LogSeverity::Info},
        {LogEvent::SettingsRefused, "settings-refused", LogSeverity::Error},
        {LogEvent::LinesDropped, "lines-dropped", LogSeverity::Warning},
}};

constexpr bool isTableInOrder()
{
    for (size_t index = 0; index < EventTable.size(); ++index) {
        if (static_cast<size_t>(EventTable[index].event) != index) {
            return false;
        }
    }
    return true;
}
static_assert(isTableInOrder(),
              "EventTable must have one row per LogEvent, in the order of the enumeration");

constexpr std::array<std::string_view, 4> SeverityNames{"debug", "info", "warning", "error"};

} // namespace

std::string_view logEventName(LogEvent event)
{
    return EventTable[static_cast<size_t>(event)].name;
}

LogSeverity logEventSeverity(LogEvent event)
{
    return EventTable[static_cast<size_t>(event)].severity;
}

std::string_view logSeverityName(LogSeverity severity)
{
    return SeverityNames[static_cast<size_t>(severity)];
}

std::optional<LogSeverity> parseLogSeverity(std::string_view name)
{
    for (size_t index = 0; index < SeverityNames.size(); ++index) {
        if (SeverityNames[index] == name) {
            return static_cast<LogSeverity>(index);
        }
    }
    return std::nullopt;
}

} // namespace wisteriahoist
