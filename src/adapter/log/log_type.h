/** @file log_type.h The events a node logs, their severities and fields. */

#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace wisteriahoist {

/** How much an operator should care. */
enum class LogSeverity {
    Debug,
    Info,    ///< An expected change of state.
    Warning, ///< Something works less well than declared.
    Error,   ///< Something that was asked for does not work.
};

/** Each change of state that is logged. A name and a severity for each stand in log_type.cpp. */
enum class LogEvent {
    NodeStarted,
    NodeStopping,
    NodeStopped,
    TermWon,
    TermLost,
    TermObserved, ///< Another node coordinates the cell.
    CampaignLost,
    LeaseGained,
    LeaseLost,
    RosterChanged,
    MemberLost,
    AssignmentWritten,
    AssignmentInForce,
    ConfigAccepted, ///< Written to the platform.
    ConfigInForce,  ///< Taken over by this node.
    ConfigRefused,  ///< Older than what is held, or malformed.
    BackendAnnounced,
    BackendDraining,
    BackendSilent,
    DrainStarted,
    DrainFinished,
    ObjectMalformed, ///< An object of the platform that the codec refuses.
    PlatformUnavailable,
    PlatformBack,
    PeerRefused, ///< A stranger's or an outdated credential.
    OperatorRefused,
    OperatorChange,
    TraceExportFailing,
    TraceExportBack,
    RequestEnded,     ///< A caller was answered; one line for each request.
    BackendChanged,   ///< State or life of the backend server beside the node.
    ReportRefused,    ///< A heartbeat that can't be read, or names no instance to use.
    GrantRefused,     ///< The backend server has seen a higher fence.
    LeaseRevoked,     ///< This node has taken another one's lease away.
    RangeLeaving,     ///< A range is being released for another holder.
    RangeGivenOn,     ///< A range is about to go to another holder: on what proof.
    RangesOffered,    ///< Ranges that the backend server did not hold are granted to it.
    RangesChanging,   ///< Why ranges are about to be written to other holders; one line a cause.
    RangesWritten,    ///< This node has changed the table of its service.
    RangesNotWritten, ///< The change failed, or its outcome is not known.
    RangesLeftOut,    ///< An answer to a heartbeat has no room for all that is to be held.
    MemberPublished,  ///< This node has written what it is and what is beside it.
    NodeFailed,       ///< An error that nothing handles; the process ends.
    NodeFenced,       ///< A taker has asked this witness to answer a node no more.
    WatchSilent,      ///< Other nodes have heard of changes that the own watch has not told.
    FeederLost,       ///< The node that told what changes in the store does not any more.
    StoreRelayed,     ///< The store is reached through another node.
    SettingsReloaded,
    SettingsRefused, ///< The settings file has changed for the worse; the old settings stay.
    LinesDropped,    ///< Lines of an event that comes often were left out.
    Last = LinesDropped,
};

/** The value of one field. */
using LogValue = std::variant<std::string, int64_t, uint64_t, double, bool>;

/** One field of an event. */
struct LogField {
    template <typename T>
    LogField(std::string_view fieldName, T fieldValue) : name(fieldName), value(convert(fieldValue))
    { }

    std::string_view name; ///< A literal.
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

/** @return The severity of that name: debug, info, warning or error. */
std::optional<LogSeverity> parseLogSeverity(std::string_view name);

} // namespace wisteriahoist
