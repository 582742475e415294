/** @file tsan_main.cpp Ring between two duties, metrics and spans under ThreadSanitizer. */

// Criterion cannot start under ThreadSanitizer, so this is a plain program: it ends with 0 if every
// call was answered and the sanitizer saw no race.

#include "adapter/metrics/metric_registry.h"
#include "adapter/trace/span_type.h"
#include "duty/duty_link.h"
#include "duty/duty_thread.h"

#include <algorithm>
#include <boost/asio/use_future.hpp>
#include <iostream>
#include <thread>

namespace {

using namespace wisteriahoist;

constexpr int Calls = 5000;
constexpr int CallsAtOnce = 16;
constexpr size_t RingCapacity = 8; ///< Below CallsAtOnce, so that refusals happen, too.

using Link = DutyLink<int, int>;

/** Counts what came back. Caller's thread only. */
struct Tally {
    int answered = 0;
    int refused = 0;
    int wrong = 0;
};

boost::asio::awaitable<int> answer(int number)
{
    co_return number + 1;
}

boost::asio::awaitable<void> callMany(Link &link, Tally &tally)
{
    for (int number = 0; number < Calls / CallsAtOnce; ++number) {
        const Result<int> reply = co_await link.call(number);
        tally.answered += reply ? 1 : 0;
        tally.refused += reply ? 0 : 1;
        tally.wrong += reply && reply.assume_value() != number + 1 ? 1 : 0;
    }
}

/** Two duties and a ring between them, while a third thread reads the ring's depth. */
bool checkLink()
{
    DutyThread caller("tsan-caller");
    DutyThread server("tsan-server");
    Link link(caller.context(), server.context(), RingCapacity);
    link.serve(answer);
    Tally tally;
    std::vector<std::future<void>> pending;
    pending.reserve(CallsAtOnce);
    for (int index = 0; index < CallsAtOnce; ++index) {
        pending.push_back(boost::asio::co_spawn(caller.context(), callMany(link, tally),
                                                boost::asio::use_future));
    }
    server.start();
    caller.start();
    size_t deepest = 0;
    for (std::future<void> &future : pending) {
        while (future.wait_for(milliseconds(1)) != std::future_status::ready) {
            deepest = std::max(deepest, link.depth());
        }
    }
    caller.stop();
    server.stop();
    std::cout << "link: answered=" << tally.answered << " refused=" << tally.refused
              << " wrong=" << tally.wrong << " deepest=" << deepest << "\n";
    return tally.wrong == 0 && tally.answered + tally.refused == Calls / CallsAtOnce * CallsAtOnce
           && static_cast<uint64_t>(tally.refused) == link.refusedCount()
           && deepest <= RingCapacity;
}

/** One thread observes, another renders the page. */
bool checkMetrics()
{
    MetricRegistry registry;
    LabelledCounter &labelled = registry.addLabelledCounter("wh_a_total", "a", "reason");
    Distribution &distribution = registry.addDistribution("wh_b_seconds", "b");
    std::thread writer([&labelled, &distribution]() {
        for (int index = 0; index < Calls; ++index) {
            labelled.add("reason-" + std::to_string(index % 40));
            distribution.observe(index, fromMillisecondCount(index * 10));
        }
    });
    size_t bytes = 0;
    for (int index = 0; index < 200; ++index) {
        bytes += registry.render(fromMillisecondCount(index * 250)).size();
    }
    writer.join();
    return bytes > 0 && distribution.read(fromMillisecondCount(Calls * 10)).count == Calls;
}

/** One thread pushes spans, another takes them out; each is taken out or counted as dropped. */
bool checkSpans()
{
    Counter dropped;
    SpanRing ring(dropped);
    std::atomic<bool> done{false};
    std::thread producer([&ring, &done]() {
        for (int index = 0; index < Calls; ++index) {
            Span span;
            span.context.sampled = true;
            span.service = "a service's name longer than a short string";
            ring.push(span);
        }
        done = true;
    });
    uint64_t taken = 0;
    Span span;
    for (bool more = true; more;) {
        more = !done; // Read before the ring: what was pushed before the end is still taken out.
        while (ring.pop(span)) {
            ++taken;
        }
    }
    producer.join();
    std::cout << "spans: taken=" << taken << " dropped=" << dropped.value() << "\n";
    return taken + dropped.value() == Calls;
}

} // namespace

int main()
{
    const bool passed = checkLink() && checkMetrics() && checkSpans();
    std::cout << "tsan: " << (passed ? "passed" : "failed") << std::endl;
    return passed ? 0 : 1;
}
