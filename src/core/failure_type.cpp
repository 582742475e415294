/** @file failure_type.cpp Names of the failure codes. */

#include "core/failure_type.h"

namespace wisteriahoist {

std::string_view failureName(FailureCode code)
{
    switch (code) {
    case FailureCode::BadArgument:
        return "bad-argument";
    case FailureCode::NotFound:
        return "not-found";
    case FailureCode::VersionConflict:
        return "version-conflict";
    case FailureCode::TooLarge:
        return "too-large";
    case FailureCode::RateLimited:
        return "rate-limited";
    case FailureCode::Unavailable:
        return "unavailable";
    case FailureCode::Ambiguous:
        return "ambiguous";
    case FailureCode::DeadlineExceeded:
        return "deadline-exceeded";
    case FailureCode::Malformed:
        return "malformed";
    case FailureCode::Unauthorized:
        return "unauthorized";
    case FailureCode::Overloaded:
        return "overloaded";
    case FailureCode::HistoryGone:
        return "history-gone";
    }
    return "unknown";
}

} // namespace wisteriahoist
