/** @file failure_type.h Typed failures and the result type that carries them (Boost.Outcome). */

#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <string_view>

namespace wisteriahoist {

/** All failure types that an operation can return. */
enum class FailureCode {
    BadArgument,      ///< The input violates a documented precondition.
    NotFound,         ///< The requested item does not exist.
    VersionConflict,  ///< A conditional update found a different version than expected.
    TooLarge,         ///< A size bound was exceeded.
    RateLimited,      ///< The platform rejected the call because of its rate limit.
    Unavailable,      ///< The remote side is known not to have executed the operation.
    Ambiguous,        ///< The remote side may or may not have executed the operation.
    DeadlineExceeded, ///< The deadline passed; the operation may have been executed.
    Malformed,        ///< The codec or the protocol parser rejected the bytes.
    Unauthorized,     ///< The credential is missing or invalid.
    Overloaded,       ///< A bounded queue or ring buffer was full; nothing was executed.
    HistoryGone,      ///< The requested changes are no longer available; a new list is needed.
};

/** @return The stable name of @p code, as used in response bodies and logs. */
std::string_view failureName(FailureCode code);

/** A failure: its type and a description for the operator. */
struct Failure {
    FailureCode code = FailureCode::BadArgument;
    std::string context; ///< Human-readable description; never parsed.
};

/** A value or a typed failure. Accessing the one that is absent terminates the process. */
template <typename T>
using Result = boost::outcome_v2::result<T, Failure, boost::outcome_v2::policy::terminate>;

} // namespace wisteriahoist
