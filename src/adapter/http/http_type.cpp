/** @file http_type.cpp Builds problem bodies (RFC 9457). */

#include "adapter/http/http_type.h"

#include <boost/json.hpp>

namespace wisteriahoist {

HttpResponse makeProblemResponse(const Problem &problem)
{
    HttpResponse response(problem.status, 11);
    response.set(http::field::content_type, "application/problem+json");
    boost::json::object body;
    body["type"] = "urn:wisteriahoist:problem:" + std::string(problem.type);
    body["title"] = std::string(problem.type);
    body["status"] = static_cast<unsigned>(problem.status);
    body["detail"] = problem.detail;
    if (problem.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retryAfter);
        response.set(http::field::retry_after, std::to_string(seconds.count()));
        body["retry_after_ms"] = problem.retryAfter.count();
    }
    response.body() = boost::json::serialize(body);
    response.prepare_payload();
    return response;
}

} // namespace wisteriahoist
