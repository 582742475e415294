/** @file http_client.cpp HTTP/1.1 client with a connection pool, over Boost.Beast. */

#include "adapter/http/http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/span_body.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>

namespace wisteriahoist {

namespace {

/** Bytes read and not yet parsed: more than a response's head or the size of a chunk may have. */
constexpr size_t MaxUnparsedBytes = 64 * 1024;
/** Bytes that the system receives for one connection before they are read. */
constexpr int ReceiveBufferBytes = 128 * 1024;
/** Interim responses and responses to other requests that are skipped on one connection. */
constexpr int MaxSkippedResponses = 16;
/** An idle connection is discarded this long before the server would close it: a request that
 *  crosses the close is lost, and it is unknown whether it was executed. */
constexpr milliseconds IdleMargin{1000};

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

bool isInterim(const HttpResponse &response)
{
    return response.result_int() / 100 == 1;
}

} // namespace

void ExchangeControl::cancel()
{
    cancelled_ = true;
    if (stream_ != nullptr) {
        stream_->close();
    }
}

HttpClient::HttpClient(asio::any_io_executor executor, const std::string &ip, uint16_t port,
                       PoolLimits limits)
    : executor_(std::move(executor)), endpoint_(asio::ip::make_address(ip), port), limits_(limits),
      budget_(limits.responseMemory ? limits.responseMemory
                                    : std::make_shared<ResponseBudget>(limits.heldBytes))
{ }

void HttpClient::configureSocket(tcp::socket &socket) const
{
    // A device between the two ends may silently drop the state of a connection. Without these
    // limits each request on such a pooled connection would wait until its deadline.
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(static_cast<int>(limits_.probeAfter.count())),
                      ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(static_cast<int>(limits_.probeInterval.count())),
                      ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(static_cast<int>(limits_.probes)), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(limits_.userTimeout.count())),
                      ignored);
}

asio::awaitable<Result<HttpClient::Connection>> HttpClient::open(SteadyTime deadline,
                                                                 ExchangeControl &control)
{
    auto stream = std::make_unique<beast::tcp_stream>(executor_);
    if (limits_.connect.count() > 0) {
        deadline = std::min(deadline, std::chrono::steady_clock::now() + limits_.connect);
    }
    stream->expires_at(deadline);
    beast::error_code error;
    // Set before connecting: otherwise the system lets the buffer grow to megabytes.
    stream->socket().open(endpoint_.protocol(), error);
    stream->socket().set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), error);
    co_await stream->async_connect(endpoint_, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        control.refused_ = error == asio::error::connection_refused
                           || error == asio::error::connection_reset;
        co_return Failure{FailureCode::Unavailable, "connecting failed: " + error.message()};
    }
    configureSocket(stream->socket());
    ++connectionsOpened_;
    co_return std::move(stream);
}

HttpClient::Connection HttpClient::acquireIdle()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    while (!idle_.empty()) {
        Connection connection = std::move(idle_.back().connection);
        const SteadyTime until = idle_.back().until;
        idle_.pop_back();
        if (until <= now) {
            continue;
        }
        // A connection that the server closed while idle is readable (end of file): discard it.
        beast::error_code error;
        connection->socket().non_blocking(true, error);
        char probe = 0;
        connection->socket().receive(asio::buffer(&probe, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block) {
            return connection;
        }
    }
    return nullptr;
}

void HttpClient::releaseIdle(Connection connection, std::chrono::milliseconds idleTime)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    connection->expires_never();
    idle_.push_back({std::move(connection), now + idleTime});
    while (!idle_.empty() && (idle_.size() > limits_.idle || idle_.front().until < now)) {
        idle_.pop_front();
    }
}

std::chrono::milliseconds HttpClient::idleTimeOf(const HttpResponse &response) const
{
    const std::string_view text(response["Keep-Alive"].data(), response["Keep-Alive"].size());
    constexpr std::string_view Name = "timeout=";
    const size_t at = text.find(Name);
    uint64_t seconds = 0;
    if (at == std::string_view::npos
        || std::from_chars(text.data() + at + Name.size(), text.data() + text.size(), seconds).ec
                   != std::errc()) {
        return limits_.idleTime;
    }
    const std::chrono::milliseconds stated{seconds * 1000};
    return std::min<std::chrono::milliseconds>(limits_.idleTime,
                                               stated > IdleMargin ? stated - IdleMargin
                                                                   : std::chrono::milliseconds(0));
}

asio::awaitable<void> HttpClient::preconnect(size_t count)
{
    constexpr milliseconds ConnectTimeout{1000};
    ExchangeControl control;
    while (idle_.size() < std::min(count, limits_.idle)) {
        Result<Connection> connection
                = co_await open(std::chrono::steady_clock::now() + ConnectTimeout, control);
        if (!connection) {
            co_return;
        }
        releaseIdle(std::move(connection.assume_value()), limits_.idleTime);
    }
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(HttpRequest request,
                                                           milliseconds timeout,
                                                           std::shared_ptr<ExchangeControl> control,
                                                           std::string_view body)
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + timeout;
    if (!control) {
        control = std::make_shared<ExchangeControl>();
    }
    const bool mayReuse = !control->ownConnection_ && !control->newConnection_;
    Connection connection = mayReuse ? acquireIdle() : nullptr;
    if (!connection) {
        Result<Connection> opened = co_await open(deadline, *control);
        if (!opened) {
            co_return std::move(opened).as_failure();
        }
        connection = std::move(opened.assume_value());
    }
    if (control->cancelled_) {
        releaseIdle(std::move(connection), limits_.idleTime);
        co_return Failure{FailureCode::Unavailable, "request cancelled before sending"};
    }
    if (control->isInTime_ && !control->isInTime_()) {
        control->tooLate_ = true;
        releaseIdle(std::move(connection), limits_.idleTime);
        co_return Failure{FailureCode::Unavailable,
                          "deadline check failed before sending; request not sent"};
    }
    control->stream_ = connection.get();
    http::request<http::span_body<const char>> message(std::move(request.base()));
    const std::string_view payload = body.empty() ? std::string_view(request.body()) : body;
    message.body() = {payload.data(), payload.size()};
    message.version(11);
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, endpoint_.address().to_string());
    }
    message.prepare_payload();
    connection->expires_at(deadline);
    beast::error_code error;
    control->stage_ = RequestStage::PartlySent;
    const size_t sent = co_await http::async_write(
            *connection, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        control->stream_ = nullptr;
        // The operating system accepted no byte: the server cannot have executed the request.
        const bool nothingSent = sent == 0;
        control->stage_ = nothingSent ? RequestStage::Received : RequestStage::PartlySent;
        co_return Failure{nothingSent ? FailureCode::Unavailable : FailureCode::Ambiguous,
                          "sending the request failed: " + error.message()};
    }
    control->stage_ = RequestStage::Sent;
    const bool headOnly = message.method() == http::verb::head;
    Result<HttpResponse> result = co_await read(*connection, headOnly, deadline, *control);
    control->stream_ = nullptr;
    const bool timedOut = !result && result.assume_error().code == FailureCode::DeadlineExceeded;
    if (timedOut && limits_.discardAfterTimeout) {
        idle_.clear();
    }
    if (result && result.assume_value().keep_alive() && !control->ownConnection_) {
        const std::chrono::milliseconds idleTime = idleTimeOf(result.assume_value());
        releaseIdle(std::move(connection), idleTime);
    }
    co_return result;
}

std::string_view HttpClient::findHeadProblem(const ResponseParser &parser) const
{
    if (!parser.is_header_done()) {
        return {};
    }
    if (!isStatus(parser.get().result_int())) {
        return "its status is not a status of HTTP";
    }
    // A response that is delimited by the end of the connection cannot be distinguished from a
    // truncated one.
    const bool isUnframed = parser.need_eof() && !parser.skip();
    return isUnframed && !limits_.allowUnframed ? "it has neither Content-Length nor chunked coding"
                                                : std::string_view();
}

asio::awaitable<beast::error_code> HttpClient::readOne(beast::tcp_stream &stream,
                                                       beast::flat_buffer &buffer,
                                                       ResponseParser &parser, SteadyTime deadline)
{
    // An exchange that has not ended when the client does is destroyed with the event loop.
    const std::shared_ptr<ResponseBudget> budget = budget_;
    ResponseBudget::Share share(*budget, [&stream, &parser]() {
        stream.close();
        std::string().swap(parser.get().body());
    });
    beast::error_code error;
    parser.eager(true);
    std::optional<SteadyTime> transferEnd; ///< Set by the first bytes.
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(stream, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (!error && limits_.silence.count() > 0) {
            const SteadyTime now = std::chrono::steady_clock::now();
            transferEnd = transferEnd.value_or(now + limits_.transfer);
            stream.expires_at(std::max(deadline, std::min(now + limits_.silence, *transferEnd)));
        }
        const std::string &body = parser.get().body();
        // A string that grows may have up to twice its size allocated.
        if (!share.resize(std::min(body.capacity(), 2 * body.size()))) {
            error = http::error::body_limit;
        }
        if (!findHeadProblem(parser).empty()) {
            break;
        }
    }
    co_return error;
}

asio::awaitable<Result<HttpResponse>> HttpClient::read(beast::tcp_stream &stream, bool headOnly,
                                                       SteadyTime deadline,
                                                       ExchangeControl &control)
{
    const SteadyTime begun = std::chrono::steady_clock::now();
    beast::flat_buffer buffer(MaxUnparsedBytes);
    HttpResponse response;
    bool misplaced = false;
    bool anyMisplaced = false;
    int skipped = 0;
    do {
        if (skipped++ > MaxSkippedResponses) {
            co_return Failure{FailureCode::Malformed, "too many responses before the expected one"};
        }
        ResponseParser parser;
        parser.body_limit(limits_.responseBytes);
        parser.skip(headOnly);
        const beast::error_code error = co_await readOne(stream, buffer, parser, deadline);
        if (parser.got_some()) {
            control.stage_ = RequestStage::PartlyAnswered;
        }
        if (error == beast::error::timeout) {
            const auto waited = std::chrono::duration_cast<milliseconds>(
                    std::chrono::steady_clock::now() - begun);
            co_return Failure{FailureCode::DeadlineExceeded,
                              "no complete response within " + std::to_string(waited.count())
                                      + " ms; connection closed after "
                                      + std::to_string(parser.get().body().size())
                                      + " bytes of the body"};
        }
        const bool broken = error.category() == make_error_code(http::error::bad_version).category()
                            && error != http::error::end_of_stream
                            && error != http::error::partial_message;
        if (error) {
            co_return Failure{broken ? FailureCode::Malformed : FailureCode::Ambiguous,
                              "reading the response failed: " + error.message()};
        }
        const std::string_view problem = findHeadProblem(parser);
        if (!problem.empty()) {
            co_return Failure{FailureCode::Malformed, "response rejected: " + std::string(problem)};
        }
        response = parser.release();
        // A duplicate response to an earlier request may arrive before the expected one. The order
        // of responses on this connection is then unreliable, so it is not reused.
        misplaced = control.isExpected_ && !isInterim(response) && !control.isExpected_(response);
        anyMisplaced |= misplaced;
    } while (isInterim(response) || misplaced);
    if (anyMisplaced) {
        response.keep_alive(false);
    }
    // Bytes beyond the response mean that its length was wrong. They would be parsed as the
    // response to the next request, so the connection is not reused.
    if (buffer.size() != 0) {
        response.keep_alive(false);
    }
    control.stage_ = RequestStage::Answered;
    co_return response;
}

} // namespace wisteriahoist
