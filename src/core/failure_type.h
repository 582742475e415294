/** @file failure_type.h Typed failures, and the result type that carries them (Boost.Outcome). */

#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <string_view>

namespace wisteriahoist {

/** Every way in which an operation of the system can fail. */
enum class FailureCode {
    BadArgument,      ///< The input breaks a rule that is stated in its description.
    NotFound,         ///< The named thing does not exist.
    VersionConflict,  ///< A conditional update met another version than expected.
    TooLarge,         ///< A size bound was exceeded.
    RateLimited,      ///< The platform asked for fewer calls.
    Unavailable,      ///< The other side is known not to have acted.
    Ambiguous,        ///< The other side may or may not have acted.
    DeadlineExceeded, ///< The deadline passed; the other side may have acted.
    Malformed,        ///< Bytes that the codec or the protocol refuses.
    Unauthorized,     ///< The credential is missing or wrong.
    Overloaded,       ///< A bounded queue or ring was full; nothing was done.
    HistoryGone,      ///< The changes that were asked for are no longer known; list again.
};

/** @return The stable name of @p code as it appears in bodies and logs. */
std::string_view failureName(FailureCode code);

/** A failure: its type, and the context a person needs to act on it. */
struct Failure {
    FailureCode code = FailureCode::BadArgument;
    std::string context; ///< For people; never parsed.
};

/** A value or a typed failure. Reading the wrong side ends the process. */
template <typename T>
using Result = boost::outcome_v2::result<T, Failure, boost::outcome_v2::policy::terminate>;

} // namespace wisteriahoist
