/** @file request_protocol.h Interface: request metadata in the status and headers exchanged with
 * callers and backend servers.
 */

#pragma once

#include "adapter/http/http_type.h"
#include "core/failure_type.h"
#include "decision/range/range_type.h"

#include <optional>

namespace wisteriahoist {

/** Metadata of a caller's request. */
struct RequestMetadata {
    std::string attemptId;                ///< Identifies this attempt of the caller.
    std::optional<milliseconds> timeLeft; ///< Time until the caller's deadline.
    std::optional<ShardKey> shardKey;
};

/** Metadata sent to a backend server with a request. */
struct BackendMetadata {
    milliseconds timeLeft{0}; ///< The backend server stops work after this time.
    std::string backend;      ///< Incarnation that shall run the request; any other one rejects it.
    std::string callerService; ///< Service local to the node at which the request was made.
};

/** What a backend server tells of itself in a response. */
struct BackendSignals {
    std::optional<double> requestLimit; ///< Requests per second that it takes from all nodes.
    bool malformedLimit = false;        ///< It names a limit that cannot be understood.
    bool leaving = false;               ///< It ends soon and takes no new requests.
};

/** Classification of a backend server's response. */
enum class ResponseKind {
    Complete,         ///< Complete response to the request, with any status.
    NotExecuted,      ///< The backend server states that it has not run the request.
    WrongIncarnation, ///< Another incarnation uses the address and has not run the request.
    WrongRequest,     ///< Response to another request.
    Unverified,       ///< Success without the header that proves its origin.
};

/**
 * @return Whether callers take @p status as a guarantee that the request was not and will not be
 *         executed. A caller may then retry even a request that is not idempotent.
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

/** Reads and writes the headers exchanged with callers and backend servers. */
class RequestProtocol
{
public:
    virtual ~RequestProtocol() = default;

    /** @return The attempt id of a request, which may be malformed otherwise; empty if none. */
    virtual std::string_view attemptIdOf(const HttpRequest &request) const = 0;

    /** @return BadArgument if a header is missing or malformed. */
    virtual Result<RequestMetadata> readMetadata(const HttpRequest &request) const = 0;

    /** Sets the headers for the backend server; replaces any values set by the caller. */
    virtual void setMetadata(HttpRequest &request, const BackendMetadata &metadata) const = 0;

    /** @return The kind of @p response to the request attempt @p attemptId. */
    virtual ResponseKind classifyResponse(const HttpResponse &response,
                                          const std::string &attemptId) const = 0;

    virtual BackendSignals readSignals(const HttpResponse &response) const = 0;

    /** Sets the time that the caller must wait before a retry. */
    virtual void setRetryAfter(HttpResponse &response, milliseconds wait) const = 0;

    /** @return The incarnation stated in a WrongIncarnation response; empty if none. */
    virtual std::string namedBackend(const HttpResponse &response) const = 0;
};

} // namespace wisteriahoist
