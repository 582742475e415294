/** @file backend_standin.h A small stand-in for a backend server, for tests and the demo. */

#pragma once

#include "adapter/http/http_client.h"
#include "adapter/http/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

namespace wisteriahoist {

/** How the stand-in behaves. */
struct BackendBehaviour {
    std::string service = "profiles";
    uint32_t slots = 12;       ///< Requests at once; further ones are shed (503 with Not-Run).
    milliseconds workTime{1};  ///< Time that one request takes.
    milliseconds coldStart{0}; ///< Requests are shed until it has passed.
    bool fenced = true;        ///< Checks epoch and expiry of the grant of each request.
    bool draining = false;     ///< Announces that it leaves; what reaches it still runs.
    bool shedding = false;     ///< Sheds every request.
    int32_t claimedLoad = -1;  ///< What the health endpoint says; -1: the truth.
    milliseconds healthLag{0}; ///< Age that the health endpoint's truth may have.
};

/** One request that the stand-in ran. */
struct BackendRun {
    std::string requestId;
    std::string idempotencyKey;
    std::string key;
    uint64_t epoch = 0;
    int64_t startedUs = 0; ///< On the machine's boot clock, shared by all stand-ins.
    bool finished = false;
};

/**
 * Runs keyed requests in a bounded number of slots and keeps a log of what it ran. The answer's
 * body carries key, request and a checksum, so that a caller can tell its own answer from
 * another's.
 */
class BackendStandin
{
public:
    BackendStandin(asio::io_context &context, const std::string &ip, uint16_t port,
                   BackendBehaviour behaviour);
    void start();
    void stop();
    uint16_t port() const { return server_->port(); }
    BackendBehaviour &behaviour() { return behaviour_; }
    const std::vector<BackendRun> &runs() const { return runs_; }
    uint64_t fencedOff() const { return fencedOff_; }

    /** Announces itself to the node at @p ip : @p adminPort again and again. */
    void announceTo(const std::string &ip, uint16_t adminPort);

private:
    asio::awaitable<HttpResponse> handle(HttpRequest request,
                                         std::shared_ptr<DisconnectSignal> caller);
    asio::awaitable<HttpResponse> run(HttpRequest request,
                                      std::shared_ptr<DisconnectSignal> caller);
    asio::awaitable<void> announceLoop(std::string ip, uint16_t adminPort);
    HttpResponse makeLog() const;
    HttpResponse makeHealth();
    void applyControl(const HttpRequest &request);

    asio::io_context &context_;
    BackendBehaviour behaviour_;
    std::string ip_;
    std::shared_ptr<HttpServer> server_;
    std::chrono::steady_clock::time_point started_;
    std::vector<BackendRun> runs_;
    std::map<std::string, uint64_t>
            highestEpoch_; ///< By key: the highest epoch seen; lower is refused.
    uint32_t running_ = 0; ///< Invariant: at most behaviour_.slots.
    uint64_t shed_ = 0;
    uint64_t fencedOff_ = 0;
    uint64_t cutRuns_ = 0; ///< Ended by their deadline, the end of their grant, or a cancellation.
    uint32_t healthRunning_ = 0;                     ///< What the health endpoint knows.
    std::chrono::steady_clock::time_point healthAt_; ///< When it learned that.
    bool stopping_ = false;
};

/** @return The body that the stand-in answers to @p key and @p requestId. */
std::string makeBackendBody(std::string_view key, std::string_view requestId,
                            std::string_view requestBody);

} // namespace wisteriahoist
