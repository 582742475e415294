/** @file request_protocol.h What callers, nodes and backend servers tell each other of a request in
 * status and headers.
 */

#pragma once

#include "adapter/http/http_type.h"
#include "core/failure_type.h"
#include "decision/range/range_type.h"

#include <optional>

namespace wisteriahoist {

/** What a caller says with its request. */
struct RequestMetadata {
    std::string attemptId;                ///< Names this attempt of this caller.
    std::optional<milliseconds> timeLeft; ///< How long the caller waits.
    std::optional<ShardKey> shardKey;
};

/** What a backend server is told with a request. */
struct BackendMetadata {
    milliseconds timeLeft{0};  ///< It stops work then.
    std::string backend;       ///< The life that is to run the request; another one refuses.
    std::string callerService; ///< Service beside which the request was made.
};

/** What a backend server's answer shows. */
enum class ResponseKind {
    Complete,         ///< Its own whole answer, whatever the status.
    NotExecuted,      ///< It says that it has not run the request.
    WrongIncarnation, ///< Another life than the named one has the address; not run.
    WrongRequest,     ///< It answers another request.
    Unverified,       ///< A success without the mark that proves it.
};

/**
 * @return Whether callers read @p status as a promise that the request has not run and never will.
 *         A caller that has been promised so may repeat even a request that is not idempotent.
 */
inline bool impliesNotExecuted(unsigned status)
{
    switch (http::int_to_status(status)) {
    case http::status::request_timeout:
    case http::status::misdirected_request:
    case http::status::too_many_requests:
    case http::status::service_unavailable:
        return true;
    default:
        return false;
    }
}

/** Reads and writes the headers that callers and backend servers understand. */
class RequestProtocol
{
public:
    virtual ~RequestProtocol() = default;

    /** @return BadArgument if the terms are missing or malformed. */
    virtual Result<RequestMetadata> readMetadata(const HttpRequest &request) const = 0;

    /** Sets the headers for the backend server, whatever the caller had put there. */
    virtual void setMetadata(HttpRequest &request, const BackendMetadata &terms) const = 0;

    virtual ResponseKind classifyResponse(const HttpResponse &response,
                                          const std::string &attemptId) const = 0;

    /** Tells the caller when to come back. */
    virtual void setRetryAfter(HttpResponse &response, milliseconds wait) const = 0;

    /** @return The life that an WrongIncarnation answer names; empty if none. */
    virtual std::string namedBackend(const HttpResponse &response) const = 0;
};

} // namespace wisteriahoist
