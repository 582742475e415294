/** @file record_keepers_test.cpp What is known of the records that other nodes keep. */

#include "duty/record_keepers.h"

#include "support/shifted_clock.h"
#include "support/test_section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace asio = boost::asio;

namespace {

constexpr milliseconds LongAge{60000}; ///< Above the time that a restart takes.

/** Calls within one process; a node that is gone does not answer. */
class DirectCalls final : public PeerCalls
{
public:
    using Handlers = std::map<std::string, Handler>;

    DirectCalls(std::map<NodeId, Handlers> &nodes, NodeId self) : nodes_(nodes), self_(self)
    {
        nodes_[self_].clear();
    }

    void serve(const std::string &path, Handler handler) override
    {
        nodes_[self_][path] = std::move(handler);
    }

    asio::awaitable<Result<std::string>> call(const MemberRecord &member, std::string_view path,
                                              std::string body, CallTimes) override
    {
        const auto node = nodes_.find(member.node);
        if (node == nodes_.end()) {
            co_return Failure{FailureCode::Unavailable, "gone"};
        }
        co_return co_await node->second.at(std::string(path))(std::move(body));
    }

private:
    std::map<NodeId, Handlers> &nodes_;
    NodeId self_;
};

MemberRecord makeMember(uint64_t number)
{
    MemberRecord member;
    member.node = NodeId(number);
    member.name = "n-" + std::to_string(number);
    member.ip = "127.0.0.1";
    member.peerPort = 1;
    member.backend = "i-" + std::to_string(number);
    member.state = BackendState::Ready;
    return member;
}

/** Nodes 1 to N, all of which know each other. */
struct Fleet {
    struct Process {
        Process(Fleet &fleet, uint64_t number)
            : calls(fleet.nodes, NodeId(number)),
              keepers(fleet.context, fleet.clock, calls, view, NodeId(number))
        {
            for (uint64_t other = 1; other <= fleet.size; ++other) {
                view.onMember(makeMember(other), StoreRevision(1));
            }
        }

        FleetView view;
        DirectCalls calls;
        RecordKeepers keepers;
    };

    explicit Fleet(uint64_t count) : size(count)
    {
        for (uint64_t number = 1; number <= count; ++number) {
            restart(number);
        }
    }

    void restart(uint64_t number)
    {
        processes.erase(number);
        processes.emplace(std::piecewise_construct, std::forward_as_tuple(number),
                          std::forward_as_tuple(*this, number));
    }

    void lose(uint64_t number)
    {
        processes.erase(number);
        nodes.erase(NodeId(number));
    }

    template <typename T>
    T run(asio::awaitable<T> task)
    {
        std::optional<T> result;
        const auto wait
                = [&]() -> asio::awaitable<void> { result.emplace(co_await std::move(task)); };
        asio::co_spawn(context, wait, asio::detached);
        context.restart();
        context.run();
        return std::move(*result);
    }

    KeptRecords collect() { return run(processes.at(1).keepers.collect()); }

    asio::io_context context{1};
    ShiftedClock clock;
    uint64_t size = 0;
    std::map<NodeId, DirectCalls::Handlers> nodes;
    std::map<uint64_t, Process> processes;
};

} // namespace

// Guards against a process that takes the silence of restarted nodes for proof that its predecessor
// has acknowledged nothing.
Test(record_keepers, only_nodes_that_outlived_the_restart_prove_that_nothing_is_kept)
{
    SECTION("all have")
    {
        Fleet fleet(4);
        fleet.clock.advance(LongAge);
        fleet.restart(1);
        cr_assert(fleet.collect().complete);
    }
    SECTION("none has")
    {
        Fleet fleet(4);
        fleet.clock.advance(LongAge);
        for (uint64_t number = 1; number <= fleet.size; ++number) {
            fleet.restart(number);
        }
        const KeptRecords kept = fleet.collect();
        cr_assert(!kept.complete);
        cr_assert_eq(kept.witnesses, 0U);
    }
    SECTION("all but one: two nodes keep each record")
    {
        Fleet fleet(4);
        fleet.clock.advance(LongAge);
        fleet.restart(1);
        fleet.lose(2);
        cr_assert(fleet.collect().complete);
    }
    SECTION("all but two, which may be those that kept it")
    {
        Fleet fleet(4);
        fleet.clock.advance(LongAge);
        fleet.restart(1);
        fleet.lose(2);
        fleet.restart(3);
        cr_assert(!fleet.collect().complete);
    }
    SECTION("a node without others has not given anything away")
    {
        Fleet fleet(1);
        cr_assert(fleet.collect().complete);
    }
    SECTION("a process that knows no nodes yet can't tell")
    {
        Fleet fleet(0);
        fleet.restart(1);
        cr_assert(!fleet.collect().complete);
    }
}

Test(record_keepers, kept_record_is_handed_back)
{
    Fleet fleet(4);
    MemberRecord leaving = makeMember(1);
    leaving.state = BackendState::Draining;
    cr_assert(fleet.run(fleet.processes.at(1).keepers.deposit(leaving)));
    fleet.restart(1);
    const KeptRecords kept = fleet.collect();
    cr_assert(!kept.records.empty());
    cr_assert(kept.records.front().state == BackendState::Draining);
}
