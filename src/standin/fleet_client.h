/** @file fleet_client.h Callers of a fleet of real processes, and the records for the audit. */

#pragma once

#include "adapter/http/http_client.h"
#include "standin/fleet.h"
#include "standin/request_audit.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace wisteriahoist {

/** How a run of callers goes on beside the story of a demo or test. */
struct CallerLoad {
    uint32_t workersPerNode = 2;
    uint32_t keys = 200;
    milliseconds pause{3}; ///< Between two requests of one worker.
};

/** Asks the nodes of a fleet; keeps what each caller was told. Runs on one io_context thread. */
class FleetClient
{
public:
    using Condition = std::function<asio::awaitable<bool>()>;

    FleetClient(asio::io_context &context, Fleet &fleet);

    /** Asks for @p key through @p client; the answer is recorded. */
    asio::awaitable<HttpResponse> ask(HttpClient &client, std::string key,
                                      http::verb method = http::verb::get);

    /** Asks for @p key through the node at @p index, on a new connection. */
    asio::awaitable<HttpResponse> askNode(size_t index, std::string key);

    /** @return The state that the node at @p index reports. */
    asio::awaitable<Result<v1::StatusReply>> status(size_t index);

    /** Waits until each of @p indexes holds a lease, knows @p members members and all owners. */
    asio::awaitable<bool> waitReady(std::vector<size_t> indexes, size_t members);

    /** Waits until every key of @p keys is answered through each of @p indexes. */
    asio::awaitable<bool> waitServed(std::vector<size_t> indexes, uint32_t keys);

    /** Waits until @p condition holds, asking every 50 ms, for at most the bound. */
    asio::awaitable<bool> waitUntil(Condition condition);

    /** @return Index of the node that owns @p key now; nodes().size() if nobody answered. */
    asio::awaitable<size_t> findOwner(size_t askIndex, std::string key);

    /** Sets switches of the backend server at @p index or of the platform (JSON body). */
    asio::awaitable<void> controlBackend(size_t index, std::string switches);
    asio::awaitable<void> controlPlatform(std::string switches);

    void startLoad(CallerLoad load);
    asio::awaitable<void> stopLoad();

    /** Fetches the backend servers' logs and compares. @return The counts. */
    asio::awaitable<AuditResult> audit();

    asio::awaitable<void> pause(milliseconds duration);

    static std::string keyName(uint32_t index) { return "sitter-" + std::to_string(index); }

private:
    asio::awaitable<void> worker(size_t node, uint64_t seed, CallerLoad load);
    asio::awaitable<void> collectLog(size_t index, std::vector<ServerRecord> &runs);
    asio::awaitable<void> control(uint16_t port, std::string path, std::string switches);

    asio::io_context &context_;
    Fleet &fleet_;
    std::vector<CallerRecord> callers_;
    uint64_t lastRequest_ = 0;
    uint32_t workersRunning_ = 0;
    bool loading_ = false;
};

} // namespace wisteriahoist
