/** @file declaration_check_test.cpp Declarations are validated as a whole. */

#include "decision/config/declaration_check.h"
#include "support/declarations.h"
#include "support/test_section.h"

#include <functional>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** An error introduced into valid declarations, and the expected problem. */
struct WrongCase {
    std::function<void(Declarations &)> introduceError;
    ConfigProblemCode code;
    const char *path;
};

const std::vector<WrongCase> &wrongCases()
{
    using Code = ConfigProblemCode;
    static const std::vector<WrongCase> cases{
            {[](auto &d) { d.services[0].name = "No Good"; }, Code::BadArgument,
             "services[0].name"},
            {[](auto &d) { d.services[1].name = "notes"; }, Code::Duplicate, "services[1].name"},
            {[](auto &d) { d.services[1].host = "notes.example"; }, Code::Duplicate,
             "services[1].host"},
            {[](auto &d) { d.services[0].host = "notes.example:80"; }, Code::BadArgument,
             "services[0].host"},
            {[](auto &d) { d.services[0].keySpace.segment = 33; }, Code::BadArgument,
             "services[0].key_space.segment"},
            {[](auto &d) { d.services[0].keySpace.place = KeyPlace::Query; }, Code::BadArgument,
             "services[0].key_space.name"},
            {[](auto &d) { d.services[0].keySpace.hashSeed = 1ULL << 63U; }, Code::BadArgument,
             "services[0].key_space.hash_seed"},
            {[](auto &d) { d.services[0].keySpace.initialSlices = 0; }, Code::BadArgument,
             "services[0].key_space.initial_slices"},
            {[](auto &d) { d.services[1].routes.clear(); }, Code::BadArgument,
             "services[1].routes"},
            {[](auto &d) { d.services[1].routes[0].method = "get"; }, Code::BadArgument,
             "services[1].routes[0].method"},
            {[](auto &d) { d.services[1].routes[0].pathPrefix = "no/slash"; }, Code::BadArgument,
             "services[1].routes[0].path_prefix"},
            {[](auto &d) { d.services[1].routes[0].pathPrefix = "/a?b"; }, Code::BadArgument,
             "services[1].routes[0].path_prefix"},
            {[](auto &d) { d.services[1].routes[0].deadline = milliseconds(600001); },
             Code::BadArgument, "services[1].routes[0].deadline_ms"},
            {[](auto &d) { d.services[1].routes[0].queueTimeout = milliseconds(2001); },
             Code::BadArgument, "services[1].routes[0].patience_ms"},
            {[](auto &d) { d.services[1].routes.push_back(d.services[1].routes[0]); },
             Code::UnreachableRoute, "services[1].routes[1]"},
            {[](auto &d) { d.services.resize(MaxServices + 1, makeService("x")); }, Code::TooLarge,
             "services"},
    };
    return cases;
}

} // namespace

Test(config_check, findings)
{
    SECTION("valid declarations have no problems")
    {
        cr_assert(checkDeclarations(makeDeclarations("notes", "table")).empty());
        cr_assert(checkDeclarations(Declarations()).empty());
    }
    SECTION("each invalid value is reported with its path")
    {
        for (const WrongCase &wrong : wrongCases()) {
            Declarations declarations = makeDeclarations("notes", "table");
            wrong.introduceError(declarations);
            const ConfigProblems problems = checkDeclarations(declarations);
            cr_assert(!problems.empty(), "%s", wrong.path);
            cr_assert(problems.front().path == wrong.path, "%s, found %s", wrong.path,
                      problems.front().path.c_str());
            cr_assert(problems.front().code == wrong.code, "%s", wrong.path);
        }
    }
    SECTION("all problems are reported at once")
    {
        Declarations declarations = makeDeclarations("notes", "table");
        declarations.services[0].host = "";
        declarations.services[1].routes[0].deadline = milliseconds(0);
        declarations.services[1].routes[0].pathPrefix = "";
        cr_assert(checkDeclarations(declarations).size()
                  == 4); // 0 ms is shorter than the queueTimeout
    }
}

Test(config_check, reachability)
{
    Declarations declarations = makeDeclarations("notes");
    std::vector<RouteRule> &routes = declarations.services[0].routes;
    SECTION("a longer prefix before a shorter one is reachable, and so is another method")
    {
        routes = {routes[0], routes[0], routes[0]};
        routes[1].pathPrefix = "/";
        routes[2].method = "POST";
        cr_assert(checkDeclarations(declarations).empty());
    }
    SECTION("a route after one for any method and a shorter prefix is unreachable")
    {
        routes = {routes[0], routes[0]};
        routes[0].method = "";
        routes[0].pathPrefix = "/";
        const ConfigProblems problems = checkDeclarations(declarations);
        cr_assert(problems.size() == 1);
        cr_assert(problems[0].code == ConfigProblemCode::UnreachableRoute);
        cr_assert(problems[0].message.starts_with("routes[0]"));
    }
}
