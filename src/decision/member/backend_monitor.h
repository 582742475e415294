/** @file backend_monitor.h Tracks the current incarnation of the local backend server and its
 * state. */

#pragma once

#include "decision/member/member_type.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>

namespace wisteriahoist {

/** The evidence on which the current state of the backend server is based. */
enum class BackendEvidence {
    Nothing,
    Report,
    Deregistration,
    AnnouncedLeaving,   ///< Stated in a response.
    OtherIncarnation,   ///< The backend server has named itself as another incarnation.
    RefusedConnections, ///< Several in succession.
    Answer,             ///< Answered a request or control call after it was down.
    NoResponse,
};

std::string_view backendEvidenceName(BackendEvidence evidence);

/** What a heartbeat is to the monitor before it takes effect. */
enum class ReportStanding {
    Newest,           ///< Of the current incarnation, or of the first one.
    Outdated,         ///< The current incarnation has sent newer ones.
    OtherIncarnation, ///< Of an unknown incarnation; the backend server is asked whether it is it.
    Ended,            ///< Of an incarnation that has ended.
};

std::string_view reportStandingName(ReportStanding standing);

/** Limits of the monitor. */
struct MonitorLimits {
    /** Consecutive refused connections after which it is considered down; a single one may be due
     *  to a listener that restarts. */
    uint32_t refusals = 2;
    /** Reports arrive about every second, and each tells whether the backend server is cold. */
    milliseconds assumedCold{1500};
    /** Number of ended incarnations that are remembered; late reports of older ones are no longer
     *  in transit. */
    size_t endedIncarnations = 16;
    /** How long it is asked about an incarnation that is named only once. Grants are not renewed
     *  meanwhile and outlast this. */
    milliseconds claimTime{3000};
    size_t claims = 4; ///< Incarnations that it is asked about at the same time.
};

/**
 * Tracks the local backend server by its reports and by the results of connections to it.
 *
 * Reports may arrive late, even after a crash and after the first report of the next incarnation,
 * and any process that reaches the port may send one. A report, or an answer that names another
 * incarnation, is therefore only a claim. The backend server itself decides: it names its
 * incarnation on a connection that is made for this question. Until then the current incarnation
 * stays in use; requests name it, so any other one rejects them.
 *
 * Invariant: no evidence other than its own answer ends the use of a confirmed incarnation for
 * good, and its own answer makes any incarnation current, even one that was taken for ended.
 */
class BackendMonitor
{
public:
    explicit BackendMonitor(MonitorLimits limits) : limits_(limits) { }

    /**
     * Ignores reports of earlier incarnations and outdated reports of the current one, except that
     * one which is draining stays so: its reports are acknowledged in any case. A report of another
     * incarnation is kept until the backend server has been asked, unless none is in use.
     * @return Whether the state or the incarnation has changed.
     */
    bool onReport(const BackendReport &report, TimePoint now);

    ReportStanding standingOf(const BackendReport &report) const;

    /**
     * The backend server has announced its shutdown. If none is known yet (because this node has
     * just started), it is the current one from now on. Another incarnation is remembered as
     * leaving, since no request may reach it after the acknowledgement, and the backend server is
     * asked whether it is that one.
     * @return Whether anything changed.
     */
    bool onDeregister(const BackendIncarnation &backend, TimePoint now);

    /** The current incarnation has said in a response that it leaves, which may be before its
     *  heartbeats do. @return Whether it was not known to leave. */
    bool onAnnouncedLeaving();

    /**
     * A response named @p backend. If a report of that incarnation has arrived as well, it is
     * taken for the current one.
     * @return Whether the state or the incarnation has changed.
     */
    bool onNamed(const std::string &backend, TimePoint now);

    /**
     * The backend server has named itself on a connection that was opened for this question.
     * @param question The value of question() when the connection was opened; the answer does not
     *        count if another question has come up since.
     * @return Whether the state or the incarnation has changed.
     */
    bool onIdentity(const std::string &backend, uint64_t question, TimePoint now);

    /** @return Changes whenever the backend server has to be asked for its incarnation. */
    uint64_t question() const { return question_; }

    /** @return Whether the backend server has to be asked which incarnation it is. It must not be
     *          granted keys meanwhile. */
    bool isInDoubt(TimePoint now) const;

    /** @return Whether @p backend waits for the answer of the backend server. */
    bool isClaimed(const BackendIncarnation &backend, TimePoint now) const;

    /** @return Whether the backend server itself has named the current incarnation. */
    bool isConfirmed() const { return confirmed_; }

    /**
     * A connection to its address was refused: it has ended, or it is alive and has too many
     * connections. While it runs requests it is alive. A refusal does not prove that it has
     * released its keys; only the expiry of their grants does.
     * @return Whether it is now considered down.
     */
    bool onRefusedConnection();

    /** This node's process has just started: what an earlier one has acknowledged is not known, so
     *  the backend server does not count as ready until onPredecessorKnown(). */
    void awaitPredecessor() { predecessorKnown_ = false; }

    /** What an earlier process of this node has acknowledged has been applied. */
    void onPredecessorKnown() { predecessorKnown_ = true; }

    bool isPredecessorKnown() const { return predecessorKnown_; }

    /** @param isWorking Returns whether the backend server is running requests now. */
    void setBusyCheck(std::function<bool()> isWorking) { isWorking_ = std::move(isWorking); }

    /** It answered a request or a control call. @return Whether it was down and is up again. */
    bool onAnswer(TimePoint now);

    /** It may have turned cold, which only its next reports would show. */
    void onMayBeCold(TimePoint now);

    /** @return Whether it has just started, so that it takes requests only at a low rate. */
    bool isCold(TimePoint now) const { return now < std::max(coldUntil_, assumedColdUntil_); }

    /** It has not answered within the timeout: considered Down until it answers or reports again.
     */
    bool onNoResponse();

    BackendState state() const
    {
        return state_ == BackendState::Ready && !predecessorKnown_ ? BackendState::Absent : state_;
    }
    const BackendIncarnation &backend() const { return backend_; }

    /** @return Whether @p report is the newest one of the current incarnation. */
    bool isNewest(const BackendReport &report) const
    {
        return report.backend == backend_ && report.sequence == sequence_;
    }

    /** @return Whether the current incarnation has reported; otherwise only its id is known. */
    bool hasReported() const { return sequence_ > 0; }
    /** @return Whether the current incarnation had sent reports before the first one that has been
     *          seen here, so that an earlier process of this node may have served it. */
    bool reportedBefore() const { return reportedBefore_; }
    uint32_t slots() const { return slots_; }
    const std::string &service() const { return service_; }
    TimePoint heardAt() const { return heardAt_; }

    /** @return Whether it is down because its address refuses connections. */
    bool refusesConnections() const { return refusing_; }

    /** @return Whether @p backend has ended: another incarnation is current, or it refuses
     *          connections. */
    bool isOver(const BackendIncarnation &backend) const
    {
        return backend != backend_ || (state_ == BackendState::Down && refusing_);
    }

    BackendEvidence evidence() const { return evidence_; }

    /** @return Number of refused connections, over all incarnations. */
    uint64_t refusedConnections() const { return refusedConnections_; }

private:
    /** An incarnation that may be the current one. */
    struct Claim {
        BackendIncarnation backend;
        std::optional<BackendReport> report; ///< The newest one; empty: named in a response.
        TimePoint madeAt;
    };

    void beginIncarnation(const BackendIncarnation &backend);
    /** Begins the incarnation of @p claim with what is known of it. */
    void beginClaimed(const Claim &claim, TimePoint now);
    void endIncarnation();
    /** @return Whether the current incarnation was not known to leave. */
    bool beginLeaving(BackendEvidence evidence);
    void applyReport(const BackendReport &report, TimePoint now);
    void addClaim(const BackendIncarnation &backend, const std::optional<BackendReport> &report,
                  TimePoint now);
    void rememberLeaving(const BackendIncarnation &backend, TimePoint now);
    bool isOpen(const Claim &claim, TimePoint now) const;
    std::deque<Claim>::iterator findClaim(const std::string &backend);
    void remember(std::deque<BackendIncarnation> &incarnations,
                  const BackendIncarnation &backend) const;
    bool hasEnded(const BackendIncarnation &backend) const;
    bool isDeregistered(const BackendIncarnation &backend) const;

    MonitorLimits limits_;
    BackendIncarnation backend_;
    std::string service_;
    BackendState state_ = BackendState::Absent;
    BackendEvidence evidence_ = BackendEvidence::Nothing; ///< For the latest change.
    uint32_t slots_ = 0;
    uint64_t sequence_ = 0;
    bool reportedBefore_ = false;
    uint32_t refusals_ = 0; ///< Consecutive refused connections.
    uint64_t refusedConnections_ = 0;
    bool refusing_ = false;
    bool predecessorKnown_ = true;
    bool leaving_ = false; ///< Deregistered or draining; reset only by a new incarnation.
    TimePoint heardAt_ = NeverTime;
    TimePoint coldUntil_ = NeverTime;        ///< As the latest report says.
    TimePoint assumedColdUntil_ = NeverTime; ///< Covers the time until a report can show it.
    std::function<bool()> isWorking_;        ///< Empty: not known.
    bool confirmed_ = false;                 ///< The backend server itself has named backend_.
    uint64_t question_ = 0;    ///< Invariant: rises with each new claim and each incarnation.
    std::deque<Claim> claims_; ///< Invariant: none of the current incarnation.
    std::deque<BackendIncarnation> ended_;
    /// Not current when they left: not known yet, or taken for ended.
    std::deque<BackendIncarnation> deregistered_;
};

} // namespace wisteriahoist
