/** @file event_log.cpp Structured logging over Boost.Log. */

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
 * Lines logged within this time are written in one batch. At 30 to 60 lines per second, writing
 * each line separately costs a thread wake-up and a system call per line. A process that is killed
 * loses the lines of the current batch.
 */
constexpr std::chrono::milliseconds BatchInterval{100};

// A separate thread writes the lines, from a bounded queue that drops lines when full. Otherwise a
// blocked standard error (a pipe that is not read) would stop the control thread and the lease
// would expire.
using Backend = logging::sinks::text_ostream_backend;
using Queue = logging::sinks::bounded_fifo_queue<QueuedLines, logging::sinks::drop_on_overflow>;
using Sink = logging::sinks::asynchronous_sink<Backend, Queue>;

std::atomic<LogSeverity> minSeverity{LogSeverity::Info};
std::atomic<bool> outputPresent{false};
boost::shared_ptr<Sink> sink; ///< Set and reset by LogOutput only.

/** Background thread that writes the queued lines; sleeps while the queue is empty. */
class LineWriter
{
public:
    void start()
    {
        stopping_ = false;
        thread_ = std::thread([this]() { run(); });
    }

    /** Wakes the thread after a line has been queued. */
    void wake()
    {
        if (!pending_.exchange(true)) {
            const std::lock_guard<std::mutex> lock(mutex_);
            condition_.notify_one();
        }
    }

    /** Writes the queued lines and joins the thread. */
    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
            condition_.notify_one();
        }
        thread_.join();
    }

private:
    void run()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        while (!stopping_) {
            condition_.wait(lock, [this]() { return stopping_ || pending_; });
            condition_.wait_for(lock, BatchInterval, [this]() { return stopping_; });
            pending_ = false;
            lock.unlock();
            sink->flush();
            lock.lock();
        }
        // stop() may be called before the thread has run its first iteration.
        sink->flush();
    }

    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::atomic<bool> pending_{false};
    bool stopping_ = false; ///< Guarded by mutex_.
};

LineWriter writer;

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = time.time_since_epoch();
    const auto wholeSeconds = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch);
    const auto fraction
            = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch - wholeSeconds);
    const std::time_t seconds = wholeSeconds.count();
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
        || logEventSeverity(event) < minSeverity.load(std::memory_order_relaxed)) {
        return;
    }
    thread_local logging::sources::logger logger;
    BOOST_LOG(logger) << formatLogLine(event, fields, std::chrono::system_clock::now());
    writer.wake();
}

LogOutput::LogOutput(std::ostream &stream, LogSeverity threshold)
{
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
    sink = boost::make_shared<Sink>(backend, logging::keywords::start_thread = false);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
    minSeverity.store(threshold, std::memory_order_relaxed);
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
