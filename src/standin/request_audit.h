/** @file request_audit.h Compares callers' answers with the backend servers' own logs. */

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriahoist {

/** What a caller was told. */
enum class ToldOutcome { Done, NotRun, Unknown };

/** One request as its caller saw it. */
struct CallerRecord {
    std::string requestId;
    ToldOutcome outcome = ToldOutcome::Unknown;
    bool ownBytes = false;     ///< The answer was exactly the one to this request.
    bool mustNotRepeat = true; ///< As declared; an idempotent request may run again.
};

/** One run as a backend server logged it. */
struct ServerRecord {
    uint64_t server = 0; ///< Node id.
    std::string requestId;
    std::string key;
    uint64_t epoch = 0;
    int64_t startedUs = 0; ///< On a clock that all servers share.
    bool finished = false;
};

/** The comparison's counts. */
struct AuditResult {
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    uint64_t lost = 0;         ///< Told done, but in no log or with another's bytes.
    uint64_t duplicated = 0;   ///< Run more than once although it must not be repeated.
    uint64_t repeated = 0;     ///< Idempotent, and run more than once: allowed, told apart.
    uint64_t notRunButRan = 0; ///< Told not run, but in a log.
    uint64_t wrongOwner = 0;   ///< Runs of a key by a server that had been superseded.
    bool clean() const
    {
        return lost == 0 && duplicated == 0 && notRunButRan == 0 && wrongOwner == 0;
    }
};

/** Counts every broken promise; @p runs may hold the logs of many servers. */
AuditResult auditRequests(const std::vector<CallerRecord> &callers,
                          const std::vector<ServerRecord> &runs);

} // namespace wisteriahoist
