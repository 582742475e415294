/** @file request_router_log.cpp Log lines of the ingress node: one for each request that ends. */

#include "duty/request_router.h"

namespace wisteriahoist {

void RequestRouter::logRefusal(RateLimitedEvent &event, const HttpRequest &request,
                               std::string_view reason, const RouteTable &routes)
{
    const TimePoint now = clock_.now();
    if (!event.tryTake(now)) {
        return;
    }
    const auto host = request[http::field::host];
    const ConfigStatus config = revisions_ ? revisions_->configStatus(now) : ConfigStatus{};
    const auto running = std::chrono::duration_cast<milliseconds>(now - startedAt_);
    event.log({{"request", protocol_.attemptIdOf(request)},
               {"reason", reason},
               {"host", std::string_view(host.data(), host.size())},
               {"target", std::string(request.target())},
               {"config", routes.version()},
               {"source", config.source},
               {"revision", config.record.value()},
               {"position", config.position.value()},
               {"unconfirmed_ms", config.unconfirmed.count()},
               {"in_force_ms", config.inForce.count()},
               {"behind", config.behind},
               {"running_ms", running.count()}});
}

void RequestRouter::logEnd(const RequestState &state, const v1::HopReply &reply, unsigned status)
{
    const TimePoint now = clock_.now();
    const auto took = std::chrono::duration_cast<milliseconds>(now - state.startedAt);
    if (duration_ != nullptr) {
        duration_->observe(std::chrono::duration<double>(now - state.startedAt).count());
    }
    if (!lines_.tryTake(now)) {
        return;
    }
    lines_.log({{"request", state.hop.attempt_id()},
                {"route", state.route->name},
                {"config", state.routes->version()},
                {"service", state.hop.service()},
                {"key", state.hop.keyed() ? static_cast<int64_t>(state.hop.shard_key()) : -1},
                {"node", state.target.value()},
                {"asked", state.history.tried},
                {"reached", state.history.reached},
                {"status", status},
                {"reason", reply.reason()},
                {"running", reply.load().running()},
                {"waiting", reply.load().waiting()},
                {"ms", took.count()}});
}

} // namespace wisteriahoist
