/** @file background_task_test.cpp Exceptions in coroutines that nobody waits for. */

#include "adapter/task/background_task.h"

#include "adapter/log/event_log.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

#include <sstream>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** A coroutine that fails some times and then ends. */
struct FailingTask {
    asio::awaitable<void> run()
    {
        ++runs;
        if (runs <= failures) {
            throw std::runtime_error("broken " + std::to_string(runs));
        }
        ended = true;
        co_return;
    }

    int failures = 1;
    int runs = 0;
    bool ended = false;
};

size_t countLines(const std::string &text, const std::string &part)
{
    size_t count = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        count += line.find(part) != std::string::npos ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against a loop that ends for good, and without a line, at an exception.
Test(background_task, loop_is_started_again)
{
    asio::io_context context;
    FailingTask task;
    task.failures = 2;
    std::stringstream stream;
    {
        const LogOutput output(stream, LogSeverity::Info);
        startLoop(context.get_executor(), "loop", [&task]() { return task.run(); });
        cr_assert(runUntilHolds(context, [&task]() { return task.ended; }));
    }
    cr_assert_eq(task.runs, 3);
    cr_assert_eq(countLines(stream.str(), R"("event":"task-failed","task":"loop")"), 2U);
    cr_assert_eq(countLines(stream.str(), R"("cause":"broken 2")"), 1U);
}

// Guards against state that says for good that a task runs which an exception has ended.
Test(background_task, cleans_up_after_an_exception)
{
    for (const int failures : {0, 1}) {
        asio::io_context context;
        FailingTask task;
        task.failures = failures;
        int cleanUps = 0;
        asio::co_spawn(context, task.run(), logFailureOf("task", [&cleanUps]() { ++cleanUps; }));
        context.run();
        cr_assert_eq(task.runs, 1);
        cr_assert_eq(cleanUps, failures);
    }
}
