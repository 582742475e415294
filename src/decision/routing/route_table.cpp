/** @file route_table.cpp Finds the route of a request. */

#include "decision/routing/route_table.h"

#include <algorithm>
#include <cctype>

namespace wisteriahoist {

namespace {

std::string normalizeHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

RouteTable::RouteTable(RouteConfigPtr config) : config_(std::move(config))
{
    for (const Route &route : config_->routes) {
        byHost_[normalizeHost(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto found = byHost_.find(normalizeHost(host));
    if (found == byHost_.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const Route *route : found->second) {
        if (path.starts_with(route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}

const ServiceConfig *RouteTable::findService(const std::string &name) const
{
    if (!config_) {
        return nullptr;
    }
    const auto found = config_->services.find(name);
    return found == config_->services.end() ? nullptr : &found->second;
}

bool RouteConfigHolder::offer(RouteConfig config)
{
    if (config.version <= table_->version()) {
        return false;
    }
    table_ = std::make_shared<RouteTable>(std::make_shared<RouteConfig>(std::move(config)));
    return true;
}

const std::string &TargetPicker::pick(const Route &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    Credits &state = byRoute_[route.name];
    if (state.targets != route.targets) {
        state.targets = route.targets;
        state.credits.assign(route.targets.size(), 0);
    }
    double total = 0;
    for (size_t index = 0; index < route.targets.size(); ++index) {
        state.credits[index] += route.targets[index].weight;
        total += route.targets[index].weight;
    }
    const auto highest = std::max_element(state.credits.begin(), state.credits.end());
    *highest -= total;
    return route.targets[static_cast<size_t>(highest - state.credits.begin())].service;
}

} // namespace wisteriahoist
