/** @file route_table_test.cpp Lookup by host and prefix, monotonic versions, weighted targets. */

#include "decision/routing/route_table.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

Route makeRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "a.example";
    route.pathPrefix = prefix;
    route.targets = {{"one", 1}};
    return route;
}

RouteConfig makeConfig(uint64_t version)
{
    RouteConfig config;
    config.version = version;
    config.routes = {makeRoute("wide", "/a/"), makeRoute("narrow", "/a/b/")};
    return config;
}

} // namespace

Test(route_table, longest_prefix_matches)
{
    const RouteTable table(std::make_shared<RouteConfig>(makeConfig(1)));
    cr_assert(table.find("a.example", "/a/x")->name == "wide");
    cr_assert(table.find("A.example:8080", "/a/b/x?q=/a/")->name == "narrow");
    cr_assert(table.find("a.example", "/a") == nullptr);
    cr_assert(table.find("a.example", "/c/?/a/b/") == nullptr);
    cr_assert(table.find("b.example", "/a/x") == nullptr);
}

// After an interrupted watch the configuration is read from a store replica that is behind. If it
// were applied, a route that callers already use would disappear again.
Test(route_table, version_never_decreases)
{
    RouteConfigHolder holder;
    cr_assert(holder.offer(makeConfig(7)));
    cr_assert(!holder.offer(makeConfig(5)));
    cr_assert(!holder.offer(makeConfig(7)));
    cr_assert(holder.table()->version() == 7);
}

Test(target_picker, shares_follow_the_weights)
{
    Route route = makeRoute("split", "/s/");
    route.targets = {{"one", 90}, {"two", 10}};
    TargetPicker picker;
    int two = 0;
    for (int request = 0; request < 200; ++request) {
        two += picker.pick(route) == "two" ? 1 : 0;
    }
    cr_assert(two == 20);
}
