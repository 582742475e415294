/** @file soak_callers.h Callers that keep sending requests to every node over open connections. */

#pragma once

#include "soak/soak_audit.h"
#include "soak/soak_fleet.h"

#include <random>
#include <vector>

namespace wisteriahoist::soak {

/** One kind of request. */
struct RequestShape {
    std::string path; ///< Prefix of its route.
    bool mayRepeat = true;
    bool keyed = false;
    uint32_t maxAttempts = 2;
};

/** The load of one soak: a few callers at each node, one request at a time each. */
class SoakCallers
{
public:
    SoakCallers(asio::io_context &context, SoakAudit &audit, uint64_t seed);

    void setShapes(std::vector<RequestShape> shapes) { shapes_ = std::move(shapes); }
    void addCallers(size_t index, SoakNode &node, size_t count);
    /** Adds a caller that repeats two requests under which backend servers crash. */
    void addCrashingCaller(size_t index, SoakNode &node);

    /** Adds a caller that sends bodies of many megabytes. */
    void addLargeCaller(size_t index, SoakNode &node);

    /** They leave early from now on, or no more. */
    void setImpatient(bool impatient) { impatient_ = impatient; }
    /** No request is sent any more. */
    void stop() { stopping_ = true; }
    size_t waiting() const { return waiting_; }

    /** Sends one request for each shape and some keys. @return Empty, or what was not served. */
    asio::awaitable<std::string> probe(size_t index, SoakNode &node);

    /** The same at all nodes of @p fleet at once. */
    asio::awaitable<std::string> probeAll(SoakFleet &fleet);

private:
    asio::awaitable<void> probeOne(size_t index, SoakNode &node,
                                   std::vector<std::optional<std::string>> &missing);
    asio::awaitable<void> callLoop(size_t index, SoakNode &node);
    asio::awaitable<void> crashLoop(size_t index, SoakNode &node);
    asio::awaitable<void> largeLoop(size_t index, SoakNode &node);
    SentRequest makeRequest(size_t index, const SoakNode &node, const RequestShape &shape);
    asio::awaitable<platform::CallerAnswer> send(HttpClient &client, SentRequest request,
                                                 std::optional<ShardKey> key, size_t bodyBytes = 0);

    asio::io_context &context_;
    SoakAudit &audit_;
    std::mt19937_64 random_;
    std::vector<RequestShape> shapes_;
    uint64_t sent_ = 0;
    size_t waiting_ = 0;
    bool impatient_ = false;
    bool stopping_ = false;
};

} // namespace wisteriahoist::soak
