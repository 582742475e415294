/** @file platform_standin.h A small stand-in for the platform's object API, for tests and the demo.
 */

#pragma once

#include "adapter/http/http_server.h"
#include "core/id_type.h"

#include <map>
#include <string>

namespace wisteriahoist {

/** Switches that make the stand-in fail in the ways the brief names. */
struct PlatformFaults {
    bool down = false;     ///< Every call is answered 503, nothing is done.
    bool silent = false;   ///< Calls are taken and never answered.
    milliseconds delay{0}; ///< Added before each answer.
    uint32_t loseReplies
            = 0; ///< That many writes take effect and are answered by a closed call (504).
};

/**
 * Objects with versions, conditional put and delete, list by prefix and watch. Rates are counted
 * as the brief says: each call is one, a waiting watch is one.
 */
class PlatformStandin : public std::enable_shared_from_this<PlatformStandin>
{
public:
    struct Limits {
        uint32_t writesPerSecond = 400;
        uint32_t readsPerSecond = 2000;
    };

    PlatformStandin(asio::io_context &context, const std::string &ip, uint16_t port, Limits limits);
    void start();
    void stop();
    uint16_t port() const { return server_->port(); }

    PlatformFaults &faults() { return faults_; }
    uint64_t readCount() const { return readCount_; }
    uint64_t writeCount() const { return writeCount_; }

private:
    struct Object {
        ObjectVersion version;
        std::string content;
    };

    asio::awaitable<HttpResponse> handle(HttpRequest request);
    asio::awaitable<HttpResponse> handleWatch(const HttpRequest &request, const std::string &name);
    asio::awaitable<HttpResponse> handleWrite(const HttpRequest &request, const std::string &name);
    HttpResponse handleList(const std::string &prefix) const;
    HttpResponse handleControl(const HttpRequest &request);
    HttpResponse makeObjectResponse(const std::string &name) const;
    bool takeQuota(bool isWrite);

    asio::io_context &context_;
    Limits limits_;
    std::shared_ptr<HttpServer> server_;
    std::map<std::string, Object> objects_;
    PlatformFaults faults_;
    uint64_t lastVersion_ = 0;
    uint64_t readCount_ = 0;
    uint64_t writeCount_ = 0;
    std::chrono::steady_clock::time_point windowStart_; ///< Start of the second being counted.
    uint32_t windowReads_ = 0;
    uint32_t windowWrites_ = 0;
};

} // namespace wisteriahoist
