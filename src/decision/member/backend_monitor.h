/** @file backend_monitor.h Which life of the backend server beside this node is up, and how it is.
 */

#pragma once

#include "decision/member/member_type.h"

#include <deque>
#include <functional>
#include <string_view>

namespace wisteriahoist {

/** What the present state of the backend server was concluded from. */
enum class BackendEvidence {
    Nothing,
    Report,
    Deregistration,
    OtherLife,          ///< Its address answered for another life.
    RefusedConnections, ///< In a row.
    Answer,             ///< To a request or an order, after it was taken for down.
    Silence,
};

std::string_view backendEvidenceName(BackendEvidence evidence);

/** Bounds of the monitor. */
struct MonitorLimits {
    /** Refused connections in a row after which it counts as down; the second rules out a listener
     *  that restarts. */
    uint32_t refusals = 2;
    /** Lives that are remembered as ended; late reports of older ones have long arrived. */
    size_t endedLives = 16;
};

/**
 * Follows the backend server beside the node from its own reports and from what connections to it
 * show. Reports may arrive late, also after a crash and after the next life's first report, so a
 * life that has ended stays ended.
 */
class BackendMonitor
{
public:
    explicit BackendMonitor(MonitorLimits limits) : limits_(limits) { }

    /**
     * A report of an earlier life, or an older one of this life, changes nothing.
     * @return Whether state or life has changed.
     */
    bool onReport(const BackendReport &report, TimePoint now);

    /**
     * The backend server has said that it leaves for good. A life that is not known here yet (this
     * node has just started) is remembered as leaving: the acknowledgement binds all the same.
     * @return Whether anything changed.
     */
    bool onDeregister(const BackendIncarnation &backend);

    /** Its address answered for another life, or an order named one. @return As above. */
    bool onOtherIncarnation(const std::string &backend, TimePoint now);

    /**
     * A connection to its address was refused: it has ended, or lives and has too many of them. One
     * that still works lives. Nothing is known of its keys by that; only their grants' end tells
     * that it holds them no more.
     * @return Whether it counts as down by it.
     */
    bool onRefusedConnection();

    /** @param isWorking Tells whether requests are at work at the backend server now. */
    void setBusyCheck(std::function<bool()> isWorking) { isWorking_ = std::move(isWorking); }

    /** A request or an order was answered. @return Whether a silent one is back. */
    bool onAnswer(TimePoint now);

    /** Nothing has answered for long: take it as Down until it answers or reports again. */
    bool onNoResponse();

    BackendState state() const { return state_; }
    const BackendIncarnation &backend() const { return backend_; }

    /** @return Whether @p report is the newest one, of the present life. */
    bool isNewest(const BackendReport &report) const
    {
        return report.backend == backend_ && report.sequence == sequence_;
    }

    /** @return Whether the present life has reported; else only its id is known. */
    bool hasReported() const { return sequence_ > 0; }
    uint32_t slots() const { return slots_; }
    const std::string &service() const { return service_; }
    TimePoint heardAt() const { return heardAt_; }

    /** @return Whether it is down since its address refuses connections. */
    bool refusesConnections() const { return refusing_; }

    BackendEvidence evidence() const { return evidence_; }

    /** @return Connections that its address refused, over all lives. */
    uint64_t refusedConnections() const { return refusedConnections_; }

private:
    void beginLife(const BackendIncarnation &backend);
    void endLife();
    void remember(std::deque<BackendIncarnation> &lives, const BackendIncarnation &backend) const;
    bool hasEnded(const BackendIncarnation &backend) const;
    bool isDeparting(const BackendIncarnation &backend) const;

    MonitorLimits limits_;
    BackendIncarnation backend_;
    std::string service_;
    BackendState state_ = BackendState::Absent;
    BackendEvidence evidence_ = BackendEvidence::Nothing; ///< Of the latest change.
    uint32_t slots_ = 0;
    uint64_t sequence_ = 0;
    uint32_t refusals_ = 0; ///< In a row.
    uint64_t refusedConnections_ = 0;
    bool refusing_ = false;
    bool leaving_ = false; ///< Deregistered or draining; only a new life ends that.
    TimePoint heardAt_ = NeverTime;
    std::function<bool()> isWorking_; ///< Empty: nobody can tell.
    std::deque<BackendIncarnation> ended_;
    std::deque<BackendIncarnation> departing_; ///< Lives that said so before they were known here.
};

} // namespace wisteriahoist
