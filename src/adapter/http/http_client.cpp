/** @file http_client.cpp A pooled HTTP/1.1 client over Boost.Beast. */

#include "adapter/http/http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <netinet/tcp.h>

namespace wisteriahoist {

namespace {

constexpr uint64_t MaxAnswerBytes = 16 * 1024 * 1024;
/** A connection is given up so long before the other side would close it: a request that crosses
 *  the close is lost, and nobody can tell whether it ran. */
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
    : executor_(std::move(executor)), endpoint_(asio::ip::make_address(ip), port), limits_(limits)
{ }

void HttpClient::limitSilence(tcp::socket &socket) const
{
    // Something between the two ends may lose track of a connection; without these bounds each
    // request that takes it from the pool waits for its whole deadline.
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(static_cast<int>(limits_.probeAfter.count())),
                      ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(static_cast<int>(limits_.probeInterval.count())),
                      ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(static_cast<int>(limits_.probes)), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(limits_.silence.count())),
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
    co_await stream->async_connect(endpoint_, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        control.refused_ = error == asio::error::connection_refused
                           || error == asio::error::connection_reset;
        co_return Failure{FailureCode::Unavailable, "connect: " + error.message()};
    }
    limitSilence(stream->socket());
    ++connectionsOpened_;
    co_return std::move(stream);
}

HttpClient::Connection HttpClient::takeIdle()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    while (!idle_.empty()) {
        Connection connection = std::move(idle_.back().connection);
        const SteadyTime until = idle_.back().until;
        idle_.pop_back();
        if (until <= now) {
            continue;
        }
        // A connection that the other side closed while idle is readable (end of file): leave it.
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

void HttpClient::putIdle(Connection connection, std::chrono::milliseconds idleTime)
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
        putIdle(std::move(connection.assume_value()), limits_.idleTime);
    }
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(HttpRequest request,
                                                           milliseconds timeout,
                                                           std::shared_ptr<ExchangeControl> control)
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + timeout;
    if (!control) {
        control = std::make_shared<ExchangeControl>();
    }
    Connection connection = control->ownConnection_ ? nullptr : takeIdle();
    if (!connection) {
        Result<Connection> opened = co_await open(deadline, *control);
        if (!opened) {
            co_return std::move(opened).as_failure();
        }
        connection = std::move(opened.assume_value());
    }
    if (control->cancelled_) {
        putIdle(std::move(connection), limits_.idleTime);
        co_return Failure{FailureCode::Unavailable, "cancelled before sending"};
    }
    if (control->isInTime_ && !control->isInTime_()) {
        control->tooLate_ = true;
        putIdle(std::move(connection), limits_.idleTime);
        co_return Failure{FailureCode::Unavailable, "too late to be sent"};
    }
    control->stream_ = connection.get();
    request.version(11);
    if (request.find(http::field::host) == request.end()) {
        request.set(http::field::host, endpoint_.address().to_string());
    }
    request.prepare_payload();
    connection->expires_at(deadline);
    beast::error_code error;
    control->stage_ = RequestStage::PartlySent;
    const size_t sent = co_await http::async_write(
            *connection, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        control->stream_ = nullptr;
        // Not one byte was taken by the operating system: the other side cannot have acted.
        const bool nothingSent = sent == 0;
        control->stage_ = nothingSent ? RequestStage::Received : RequestStage::PartlySent;
        co_return Failure{nothingSent ? FailureCode::Unavailable : FailureCode::Ambiguous,
                          "write: " + error.message()};
    }
    control->stage_ = RequestStage::Sent;
    const bool headOnly = request.method() == http::verb::head;
    Result<HttpResponse> answer = co_await read(*connection, headOnly, *control);
    control->stream_ = nullptr;
    if (answer && answer.assume_value().keep_alive() && !control->ownConnection_) {
        const std::chrono::milliseconds idleTime = idleTimeOf(answer.assume_value());
        putIdle(std::move(connection), idleTime);
    }
    co_return answer;
}

asio::awaitable<Result<HttpResponse>> HttpClient::read(beast::tcp_stream &stream, bool headOnly,
                                                       ExchangeControl &control)
{
    beast::flat_buffer buffer;
    HttpResponse response;
    bool foreign = false;
    bool strayed = false;
    do {
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxAnswerBytes);
        parser.skip(headOnly);
        beast::error_code error;
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (parser.got_some()) {
            control.stage_ = RequestStage::PartlyAnswered;
        }
        if (error == beast::error::timeout) {
            co_return Failure{FailureCode::DeadlineExceeded, "no whole answer in time"};
        }
        const bool broken = error.category() == make_error_code(http::error::bad_version).category()
                            && error != http::error::end_of_stream
                            && error != http::error::partial_message;
        if (error) {
            co_return Failure{broken ? FailureCode::Malformed : FailureCode::Ambiguous,
                              "read: " + error.message()};
        }
        // An answer that ends with its connection cannot be told from one that was cut off.
        if (!headOnly && parser.need_eof() && !limits_.unframed) {
            co_return Failure{FailureCode::Malformed, "the answer has no length"};
        }
        response = parser.release();
        // A second answer to an earlier request may lie where ours is due; its sender has lost
        // count of its answers, so the connection is not used again.
        foreign = control.belongs_ && !isInterim(response) && !control.belongs_(response);
        strayed |= foreign;
    } while (isInterim(response) || foreign);
    if (strayed) {
        response.keep_alive(false);
    }
    // Left-over bytes belong to no request of ours: the length did not match, and what follows
    // would be taken for the next request's answer.
    if (buffer.size() != 0) {
        response.keep_alive(false);
    }
    control.stage_ = RequestStage::Answered;
    co_return response;
}

} // namespace wisteriahoist
