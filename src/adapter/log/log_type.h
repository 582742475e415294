/** @file log_type.h Log events, severities and fields. */

#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace wisteriahoist {

/** Severity of a log event. */
enum class LogSeverity {
    Debug,
    Info,    ///< Expected change of state.
    Warning, ///< Degraded operation.
    Error,   ///< A requested function does not work.
};

/** Log events. Names and severities are in log_type.cpp. */
enum class LogEvent {
    NodeStarted,
    NodeStopping,
    NodeStopped,
    TermWon,
    TermLost,
    TermObserved, ///< Another node is coordinator of the cell.
    CampaignLost,
    LeaseGained,
    LeaseLost,
    RosterChanged,
    MemberLost,
    AssignmentWritten,
    AssignmentInForce,
    ConfigAccepted, ///< Written to the platform.
    ConfigInForce,  ///< Applied by this node.
    ConfigRefused,  ///< Older than the current configuration, or malformed.
    BackendAnnounced,
    BackendDraining,
    BackendSilent,
    DrainStarted,
    DrainFinished,
    ObjectMalformed, ///< The codec rejected an object read from the platform.
    PlatformUnavailable,
    PlatformBack,
    PeerRefused, ///< Unknown or outdated credential of a peer.
    OperatorRefused,
    OperatorChange,
    TraceExportFailing,
    TraceExportBack,
    RequestEnded,      ///< A response was sent to the caller; one line per request.
    BackendChanged,    ///< The local backend server's state or incarnation has changed.
    BackendDoubted,    ///< Another incarnation is named than the current one; names the source.
    BackendIdentified, ///< The backend server, asked because of a doubt, has named itself.
    ReportRefused,     ///< A heartbeat is malformed or does not identify a usable instance.
    ReportIgnored,     ///< A heartbeat is acknowledged without effect; names both incarnations.
    GrantRefused,      ///< The backend server has seen a higher fencing token.
    LeaseRevoked,      ///< This node has revoked the lease of another node.
    RangeLeaving,      ///< A range is being released to another holder.
    RangeGivenOn,      ///< A range is about to be assigned to another holder; logs the proof that
                       ///< permits it.
    HandOverPrevented, ///< The table that was read lists a released or refused range under another
                       ///< fence, so this node does not assign it again.
    RangesOffered,     ///< Ranges not yet held by the backend server are granted to it.
    RangesChanging,    ///< Ranges are about to be assigned to other holders; one line per cause.
    RangesWritten,     ///< This node has updated the range table of its service.
    RangesNotWritten,  ///< The update failed, or its outcome is unknown.
    RangesLeftOut,     ///< A heartbeat response was too small for all ranges to be held.
    MemberPublished,   ///< This node has written its member record, including the backend server.
    LeavingKept,     ///< Other nodes keep that the backend server leaves; the store doesn't answer.
    LeavingRestored, ///< An earlier process of this node acknowledged that it leaves.
    LeavingUncertain, ///< Nobody knows whether an earlier process acknowledged that it leaves, so
                      ///< it gets no requests yet.
    LeavingRuledOut,  ///< The backend server itself has shown that it stays.
    LeavingNotAcknowledged, ///< Neither the store nor other nodes have recorded that it leaves.
    NodeFailed,     ///< Unhandled error, or a start that is not possible; the process terminates.
    AddressAwaited, ///< An address to listen on is in use; the node waits for it.
    NodeFenced,    ///< At another node's request, this node as witness no longer answers the fenced
                   ///< node.
    WatchSilent,   ///< Other nodes know of changes that this node's watch has not delivered.
    FeederLost,    ///< The node that forwarded store changes to this one has stopped doing so.
    StoreRelayed,  ///< The store is accessed through another node.
    StoreRelaying, ///< This node has carried out calls to the store for other nodes.
    ConfigSyncFailed,    ///< A watch or a list of the configuration failed; with how long it took.
    RouteUnknown,        ///< A request was refused because the configuration has no route for it.
    RequestRefused,      ///< A request was refused before a route was chosen for it.
    TaskFailed,          ///< An exception has ended a coroutine that nobody waits for.
    LoopStalled,         ///< The event loop made no turn for a while; with how long.
    EvacuationsChanged,  ///< Failure domains to which nothing is sent, as operators request.
    BackendLimitChanged, ///< The backend server names a limit of requests per second, or none any
                         ///< more.
    ColdLimitChanged,    ///< What the backend server may get while it is cold, once it is known.
    BackendLimitMalformed, ///< A limit in a response cannot be understood and is ignored.
    CrashSuspected,        ///< A backend server ended while this request was running there.
    CrashesRefused, ///< This request is no longer sent to backend servers, since several have ended
                    ///< under it.
    SettingsReloaded,
    SettingsRefused, ///< The changed settings file is invalid; the old settings stay in force.
    LinesDropped,    ///< Log lines of a frequent event were dropped by its rate limit.
    Last = LinesDropped,
};

/** The value of one field. */
using LogValue = std::variant<std::string, int64_t, uint64_t, double, bool>;

/** One field of an event. */
struct LogField {
    template <typename T>
    LogField(std::string_view fieldName, T fieldValue) : name(fieldName), value(convert(fieldValue))
    { }

    std::string_view name; ///< Must refer to a string literal.
    LogValue value;

private:
    template <typename T>
    static LogValue convert(const T &raw)
    {
        if constexpr (std::is_same_v<T, bool>) {
            return raw;
        } else if constexpr (std::is_floating_point_v<T>) {
            return static_cast<double>(raw);
        } else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>) {
            return static_cast<int64_t>(raw);
        } else if constexpr (std::is_integral_v<T>) {
            return static_cast<uint64_t>(raw);
        } else {
            return std::string(raw);
        }
    }
};

using LogFields = std::initializer_list<LogField>;

std::string_view logEventName(LogEvent event);
LogSeverity logEventSeverity(LogEvent event);
std::string_view logSeverityName(LogSeverity severity);

/** @return The severity with the given name: debug, info, warning or error. */
std::optional<LogSeverity> parseLogSeverity(std::string_view name);

} // namespace wisteriahoist
