/** @file span_sink.cpp Span sinks: a collector over HTTP, or a file. */

#include "adapter/trace/span_sink.h"

#include <fstream>

namespace wisteriahoist {

namespace {

constexpr milliseconds ExportTimeout{2000};

class HttpSpanSink : public SpanSink
{
public:
    HttpSpanSink(asio::any_io_executor executor, const std::string &ip, uint16_t port)
        : client_(std::move(executor), ip, port)
    { }

    asio::awaitable<bool> write(std::string batch) override
    {
        HttpRequest request(http::verb::post, "/v1/traces", 11);
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(batch);
        const Result<HttpResponse> response
                = co_await client_.exchange(std::move(request), ExportTimeout);
        co_return response &&http::to_status_class(response.assume_value().result())
                == http::status_class::successful;
    }

private:
    HttpClient client_;
};

class FileSpanSink : public SpanSink
{
public:
    explicit FileSpanSink(const std::string &file) : stream_(file, std::ios::app) { }

    asio::awaitable<bool> write(std::string batch) override
    {
        stream_ << batch << '\n' << std::flush;
        co_return stream_.good();
    }

private:
    std::ofstream stream_;
};

} // namespace

std::unique_ptr<SpanSink> makeSpanSink(const TraceSettings &settings,
                                       asio::any_io_executor executor)
{
    if (!settings.otlpIp.empty()) {
        return std::make_unique<HttpSpanSink>(std::move(executor), settings.otlpIp,
                                              settings.otlpPort);
    }
    return std::make_unique<FileSpanSink>(settings.file);
}

} // namespace wisteriahoist
