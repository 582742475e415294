/** @file event_log.cpp Structured log over Boost.Log. */

#include "adapter/log/event_log.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>

namespace wisteriahoist {

namespace {

namespace logging = boost::log;

constexpr size_t QueuedLines = 1024;
/**
 * Lines that come within this time are written together. Written one by one, each of 30 to 60 a
 * second woke the writing thread and cost a system call of its own. A process that is killed loses
 * what it logged in this time.
 */
constexpr std::chrono::milliseconds BatchTime{100};

// Lines are written by a thread of their own. A blocked standard error (a pipe nobody reads) would
// otherwise stop the control duty and let the lease lapse; with the bound, lines are lost instead.
using Backend = logging::sinks::text_ostream_backend;
using Queue = logging::sinks::bounded_fifo_queue<QueuedLines, logging::sinks::drop_on_overflow>;
using Sink = logging::sinks::asynchronous_sink<Backend, Queue>;

std::atomic<LogSeverity> leastSeverity{LogSeverity::Info};
std::atomic<bool> outputPresent{false};
boost::shared_ptr<Sink> sink; ///< Set and reset by LogOutput only.

/** The thread that writes; it sleeps while nothing is logged. */
class LineWriter
{
public:
    void start()
    {
        stopping_ = false;
        thread_ = std::thread([this]() { run(); });
    }

    /** A line is in the queue. */
    void wake()
    {
        if (!pending_.exchange(true)) {
            const std::lock_guard<std::mutex> lock(mutex_);
            changed_.notify_one();
        }
    }

    /** Writes what is queued. */
    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
            changed_.notify_one();
        }
        thread_.join();
    }

private:
    void run()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        while (!stopping_) {
            changed_.wait(lock, [this]() { return stopping_ || pending_; });
            changed_.wait_for(lock, BatchTime, [this]() { return stopping_; });
            pending_ = false;
            lock.unlock();
            sink->flush();
            lock.lock();
        }
        // A process may end before the thread has run at all.
        sink->flush();
    }

    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> pending_{false};
    bool stopping_ = false; ///< Guarded by mutex_.
};

LineWriter writer;

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = time.time_since_epoch();
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch);
    const auto fraction = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch - whole);
    const std::time_t seconds = whole.count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> day{};
    std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string digits = std::to_string(fraction.count());
    digits.insert(0, 6 - digits.size(), '0');
    return std::string(day.data()) + "." + digits + "Z";
}

} // namespace

std::string formatLogLine(LogEvent event, LogFields fields,
                          std::chrono::system_clock::time_point time)
{
    boost::json::object line;
    line["time"] = formatTime(time);
    line["severity"] = logSeverityName(logEventSeverity(event));
    line["event"] = logEventName(event);
    for (const LogField &field : fields) {
        std::visit([&line, &field](const auto &value) { line[field.name] = value; }, field.value);
    }
    return boost::json::serialize(line);
}

void logEvent(LogEvent event, LogFields fields)
{
    if (!outputPresent.load(std::memory_order_acquire)
        || logEventSeverity(event) < leastSeverity.load(std::memory_order_relaxed)) {
        return;
    }
    thread_local logging::sources::logger logger;
    BOOST_LOG(logger) << formatLogLine(event, fields, std::chrono::system_clock::now());
    writer.wake();
}

LogOutput::LogOutput(std::ostream &stream, LogSeverity least)
{
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
    sink = boost::make_shared<Sink>(backend, logging::keywords::start_thread = false);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
    leastSeverity.store(least, std::memory_order_relaxed);
    writer.start();
    outputPresent.store(true, std::memory_order_release);
}

LogOutput::~LogOutput()
{
    outputPresent.store(false, std::memory_order_release);
    logging::core::get()->remove_sink(sink);
    writer.stop();
    sink.reset();
}

} // namespace wisteriahoist
