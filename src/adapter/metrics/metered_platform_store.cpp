/** @file metered_platform_store.cpp Platform store decorator with metrics. */

#include "adapter/metrics/metered_platform_store.h"

#include "adapter/log/event_log.h"

namespace wisteriahoist {

namespace {

/** @return Whether @p code is a response of the platform, not the lack of one. */
bool isResponse(FailureCode code)
{
    return code == FailureCode::VersionConflict || code == FailureCode::NotFound
           || code == FailureCode::TooLarge || code == FailureCode::BadArgument;
}

} // namespace

PlatformMetrics::PlatformMetrics(MetricRegistry &registry)
    : calls(registry.addLabelledCounter("wisteriahoist_platform_calls_total",
                                        "Calls to the platform's object API.", "call")),
      failures(registry.addLabelledCounter("wisteriahoist_platform_failures_total",
                                           "Failed calls to the platform, by type.", "type")),
      bytesWritten(registry.addCounter("wisteriahoist_platform_written_bytes_total",
                                       "Bytes of object content written to the platform.")),
      bytesRead(registry.addCounter("wisteriahoist_platform_read_bytes_total",
                                    "Bytes of object content read from the platform.")),
      available(registry.addGauge("wisteriahoist_platform_available",
                                  "1 if the platform answered the latest call."))
{
    available.set(1);
}

MeteredPlatformStore::MeteredPlatformStore(PlatformStore &inner, PlatformMetrics &metrics)
    : inner_(inner), metrics_(metrics)
{ }

template <typename T>
void MeteredPlatformStore::recordResult(const Result<T> &result)
{
    if (!result) {
        metrics_.failures.add(failureName(result.assume_error().code));
    }
    const bool answered = result || isResponse(result.assume_error().code);
    if (answered == available_) {
        return;
    }
    available_ = answered;
    metrics_.available.set(answered ? 1 : 0);
    if (answered) {
        logEvent(LogEvent::PlatformBack);
    } else {
        logEvent(LogEvent::PlatformUnavailable,
                 {{"failure", failureName(result.assume_error().code)}});
    }
}

void MeteredPlatformStore::recordObject(const Result<VersionedObject> &result)
{
    recordResult(result);
    if (result) {
        metrics_.bytesRead.add(result.assume_value().content.size());
    }
}

PlatformStore::Pending<VersionedObject> MeteredPlatformStore::read(std::string name)
{
    metrics_.calls.add("read");
    Result<VersionedObject> result = co_await inner_.read(std::move(name));
    recordObject(result);
    co_return result;
}

PlatformStore::Pending<ObjectVersion>
MeteredPlatformStore::write(std::string name, ObjectVersion expected, std::string content)
{
    metrics_.calls.add("write");
    metrics_.bytesWritten.add(content.size());
    Result<ObjectVersion> result
            = co_await inner_.write(std::move(name), expected, std::move(content));
    recordResult(result);
    co_return result;
}

PlatformStore::Pending<ObjectVersion> MeteredPlatformStore::remove(std::string name,
                                                                   ObjectVersion expected)
{
    metrics_.calls.add("remove");
    Result<ObjectVersion> result = co_await inner_.remove(std::move(name), expected);
    recordResult(result);
    co_return result;
}

PlatformStore::Pending<std::vector<std::string>> MeteredPlatformStore::list(std::string prefix)
{
    metrics_.calls.add("list");
    Result<std::vector<std::string>> result = co_await inner_.list(std::move(prefix));
    recordResult(result);
    co_return result;
}

PlatformStore::Pending<VersionedObject>
MeteredPlatformStore::watch(std::string name, ObjectVersion known, milliseconds wait)
{
    metrics_.calls.add("watch");
    Result<VersionedObject> result = co_await inner_.watch(std::move(name), known, wait);
    recordObject(result);
    co_return result;
}

} // namespace wisteriahoist
