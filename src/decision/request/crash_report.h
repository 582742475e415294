/** @file crash_report.h That a request was running when a backend server ended, as nodes tell each
 * other. */

#pragma once

#include "core/backend_incarnation.h"
#include "decision/request/request_fingerprint.h"

namespace wisteriahoist {

/** Hash of a backend server's incarnation, as named in crash reports. */
using IncarnationHash = StrongId<struct IncarnationHashTag>;

IncarnationHash hashIncarnation(const BackendIncarnation &backend);

/** That a request was running when an incarnation of a backend server ended. */
struct CrashReport {
    RequestFingerprint request;
    IncarnationHash backend;
    bool refuted = false; ///< The request was answered elsewhere: it does not crash its servers.
    bool operator==(const CrashReport &) const = default;
};

} // namespace wisteriahoist
