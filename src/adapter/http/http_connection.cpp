/** @file http_connection.cpp One connection of a caller. */

#include "adapter/http/http_connection.h"

#include "adapter/http/header_rules.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {

/**
 * Requests of one connection that run at the same time. A caller that sends ahead has a handful on
 * their way; the bound keeps one connection from taking all slots of a backend server.
 */
constexpr size_t MostAtOnce = 16;
/** Read ahead of a request that waits, so that a caller that leaves meanwhile is seen. */
constexpr size_t MostUnread = 64 * 1024;
/**
 * How long bytes are read and dropped after the last answer. Closed with bytes unread, a connection
 * is reset, and the caller may lose an answer that it has not read yet; a caller that has read it
 * closes its side at once.
 */
constexpr milliseconds DrainAfterAnswers{1000};

/** @return The answer to input that the parser refused. */
HttpResponse makeParserProblem(beast::error_code error)
{
    if (error == http::error::header_limit) {
        return makeProblemResponse({http::status::request_header_fields_too_large,
                                    "header-too-large", "The header section is over its bound."});
    }
    if (error == http::error::body_limit) {
        return makeProblemResponse(
                {http::status::payload_too_large, "body-too-large", "The body is over its bound."});
    }
    return makeProblemResponse({http::status::bad_request, "malformed-request", error.message()});
}

HttpResponse makeMalformed(const std::string &detail)
{
    return makeProblemResponse(
            {http::status::bad_request, "malformed-request", detail, milliseconds(0)});
}

/** @return Whether requests of this sort may run beside each other. */
bool runsAlone(const HttpRequest &request)
{
    const bool safe = request.method() == http::verb::get || request.method() == http::verb::head;
    return !safe || !request.body().empty();
}

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> server, tcp::socket socket)
    : server_(std::move(server)), socket_(std::move(socket)), silenceTimer_(socket_.get_executor())
{
    server_->connections.insert(this);
}

HttpConnection::~HttpConnection()
{
    server_->connections.erase(this);
}

void HttpConnection::start()
{
    beast::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    noteActive();
    watchSilence(server_->limits.idle);
    asio::co_spawn(
            socket_.get_executor(), [self = shared_from_this()]() { return self->readLoop(); },
            asio::detached);
}

asio::awaitable<void> HttpConnection::readLoop()
{
    while (!closed_) {
        if (mayEndIdle()) {
            close();
            co_return;
        }
        beast::error_code error;
        const size_t count = co_await socket_.async_read_some(
                asio::buffer(chunk_), asio::redirect_error(asio::use_awaitable, error));
        if (closed_) {
            // A read may have ended well before the close, with its bytes still to be looked at. A
            // request among them would run and find no connection for its answer.
            co_return;
        }
        if (error == asio::error::operation_aborted) {
            continue; // By closeIfIdle(): what has come by now decides.
        }
        if (error) {
            onCallerGone();
            co_return;
        }
        noteActive();
        if (!reading_) {
            continue;
        }
        if (buffer_.size() + count > MostUnread && parked_) {
            // Behind the answers that are due the caller sends the rest again.
            readNoMore();
            continue;
        }
        const asio::mutable_buffer space = buffer_.prepare(count);
        std::copy_n(chunk_.begin(), count, static_cast<char *>(space.data()));
        buffer_.commit(count);
        parse();
    }
}

void HttpConnection::parse()
{
    while (reading_ && !parked_ && buffer_.size() > 0 && parseOne()) { }
}

bool HttpConnection::parseOne()
{
    if (!parser_) {
        parser_.emplace();
        parser_->header_limit(server_->limits.headerBytes);
        parser_->body_limit(server_->limits.bodyBytes);
        parser_->eager(true);
        server_->openRequests.fetch_add(1, std::memory_order_relaxed);
        counted_ = true;
    }
    beast::error_code error;
    const bool hadHead = parser_->is_header_done();
    if (!hadHead) {
        parser_->eager(false);
    }
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) {
        return false;
    }
    if (error) {
        refuse(makeParserProblem(error));
        return false;
    }
    if (!hadHead && parser_->is_header_done() && !checkHead()) {
        return false;
    }
    if (!parser_->is_done()) {
        return buffer_.size() > 0;
    }
    HttpRequest request = parser_->release();
    parser_.reset();
    take(std::move(request));
    return true;
}

/** @return Whether the request that has begun may be read on. */
bool HttpConnection::checkHead()
{
    parser_->eager(true);
    // Two framings of one message let the two ends of a connection disagree where it ends; the
    // rest of the first caller's bytes would then be read as another caller's request.
    if (hasAmbiguousFraming(parser_->get())) {
        refuse(makeMalformed("The length of the body is ambiguous."));
        return false;
    }
    if (!parser_->is_done()
        && beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        const auto exchange = std::make_shared<Exchange>();
        exchange->isInterim = true;
        exchange->response.emplace(http::status::continue_, 11);
        due_.push_back(exchange);
        answerNow(exchange);
    }
    return true;
}

void HttpConnection::take(HttpRequest request)
{
    if (request.count(http::field::host) != 1) {
        refuse(makeMalformed("Exactly one Host field is needed."));
        return;
    }
    if (mayRun(request)) {
        dispatch(std::move(request));
    } else {
        parked_ = std::move(request);
    }
}

bool HttpConnection::mayRun(const HttpRequest &request) const
{
    if (due_.empty()) {
        return true;
    }
    return !runsAlone(request) && due_.size() < MostAtOnce
           && std::none_of(due_.begin(), due_.end(),
                           [](const ExchangePtr &due) { return due->runsAlone; });
}

void HttpConnection::dispatch(HttpRequest request)
{
    const auto exchange = std::make_shared<Exchange>();
    exchange->headOnly = request.method() == http::verb::head;
    exchange->keepAlive = request.keep_alive();
    exchange->runsAlone = runsAlone(request);
    reading_ = exchange->keepAlive; // Behind the last request nothing is read.
    counted_ = false;               // It is counted by its exchange from now on.
    due_.push_back(exchange);
    asio::co_spawn(
            socket_.get_executor(),
            [self = shared_from_this(), exchange, request = std::move(request)]() mutable {
                return self->runHandler(exchange, std::move(request));
            },
            asio::detached);
}

void HttpConnection::dispatchParked()
{
    if (parked_ && reading_ && mayRun(*parked_)) {
        HttpRequest request = std::move(*parked_);
        parked_.reset();
        dispatch(std::move(request));
    }
    parse();
}

void HttpConnection::refuse(HttpResponse response)
{
    // After malformed input nobody knows where the next request begins: the connection ends.
    const auto exchange = std::make_shared<Exchange>();
    exchange->keepAlive = false;
    exchange->response = std::move(response);
    if (!counted_) {
        server_->openRequests.fetch_add(1, std::memory_order_relaxed);
    }
    counted_ = false;
    reading_ = false;
    due_.push_back(exchange);
    answerNow(exchange);
}

asio::awaitable<void> HttpConnection::runHandler(ExchangePtr exchange, HttpRequest request)
{
    HttpResponse response = co_await server_->handler(std::move(request), exchange->caller);
    exchange->response = std::move(response);
    co_await writeAnswers();
}

void HttpConnection::answerNow(const ExchangePtr &exchange)
{
    if (!writing_ && due_.front() == exchange) {
        asio::co_spawn(
                socket_.get_executor(),
                [self = shared_from_this()]() { return self->writeAnswers(); }, asio::detached);
    }
}

asio::awaitable<void> HttpConnection::writeAnswers()
{
    const auto self = shared_from_this();
    if (writing_) {
        co_return;
    }
    writing_ = true;
    while (!closed_ && !due_.empty() && due_.front()->response) {
        const ExchangePtr exchange = due_.front();
        if ((server_->stopping || server_->closing) && !exchange->isInterim) {
            readNoMore();
        }
        const bool last = !reading_ && due_.size() == 1 && !exchange->isInterim;
        const bool written = co_await write(*exchange, last);
        if (closed_) {
            break;
        }
        due_.pop_front();
        if (!exchange->isInterim) {
            server_->openRequests.fetch_sub(1, std::memory_order_relaxed);
        }
        if (!written) {
            close();
        } else if (!reading_ && due_.empty()) {
            endAnswers();
        } else {
            dispatchParked();
        }
    }
    writing_ = false;
    if (!closed_ && server_->closed) {
        closeIfIdle();
    }
}

asio::awaitable<bool> HttpConnection::write(Exchange &exchange, bool last)
{
    HttpResponse &response = *exchange.response;
    noteActive();
    beast::error_code error;
    response.version(11);
    if (exchange.isInterim) {
        const http::response<http::empty_body> interim(response.base());
        co_await http::async_write(socket_, interim,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }
    response.keep_alive(!last);
    if (exchange.headOnly) {
        // The serializer would send the body; a HEAD answer has the length but no body.
        http::response<http::empty_body> head(response.base());
        if (head.find(http::field::content_length) == head.end()) {
            head.content_length(response.body().size());
        }
        co_await http::async_write(socket_, head, asio::redirect_error(asio::use_awaitable, error));
    } else {
        response.prepare_payload();
        co_await http::async_write(socket_, response,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    noteActive();
    co_return !error;
}

/** Ends the connection with the answers to what has been passed on. */
void HttpConnection::readNoMore()
{
    reading_ = false;
    parked_.reset();
    // Leave to send a body that is not read would be followed by no answer. The first one stays: it
    // may be on its way, and the connection ends when it has been written.
    if (due_.size() > 1 && due_.back()->isInterim) {
        due_.pop_back();
    }
}

void HttpConnection::onCallerGone()
{
    readNoMore();
    const std::deque<ExchangePtr> due = due_;
    for (const ExchangePtr &exchange : due) {
        exchange->caller->markDisconnected();
    }
    // Answers that are due are written all the same: a caller may have closed only its own side.
    if (due_.empty() || shutDown_) {
        close();
    }
}

void HttpConnection::endAnswers()
{
    beast::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    shutDown_ = true;
    watchSilence(DrainAfterAnswers);
}

void HttpConnection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    size_t open = counted_ ? 1 : 0;
    for (const ExchangePtr &exchange : due_) {
        exchange->caller->markDisconnected();
        open += exchange->isInterim ? 0 : 1;
    }
    counted_ = false;
    due_.clear();
    server_->openRequests.fetch_sub(open, std::memory_order_relaxed);
    silenceTimer_.cancel();
    beast::error_code ignored;
    socket_.close(ignored);
}

bool HttpConnection::isIdle() const
{
    return due_.empty() && !counted_ && !parked_ && !shutDown_;
}

bool HttpConnection::mayEndIdle() const
{
    beast::error_code ignored;
    return server_->closed && isIdle() && socket_.available(ignored) == 0;
}

void HttpConnection::closeIfIdle()
{
    if (isIdle()) {
        // Nobody but the read loop knows whether a read has just ended with a request's first
        // bytes. It is woken from a read that has not, and ends the connection or reads on.
        beast::error_code ignored;
        socket_.cancel(ignored);
    }
}

void HttpConnection::noteActive()
{
    activeAt_ = std::chrono::steady_clock::now();
}

/**
 * Closes a connection on which nothing moves: no request comes, or the caller does not read its
 * answers. While a request runs, silence is expected. One timer that is looked at when it ends
 * costs less than one that is set anew with each request.
 */
void HttpConnection::watchSilence(milliseconds after)
{
    silenceTimer_.expires_after(after);
    silenceTimer_.async_wait([self = weak_from_this()](beast::error_code error) {
        const std::shared_ptr<HttpConnection> connection = self.lock();
        if (error || !connection || connection->closed_) {
            return;
        }
        const auto silent = std::chrono::duration_cast<milliseconds>(
                std::chrono::steady_clock::now() - connection->activeAt_);
        const milliseconds bound = connection->server_->limits.idle;
        const bool isRunning = !connection->due_.empty() && !connection->due_.front()->response;
        if (connection->shutDown_ || (silent >= bound && !isRunning)) {
            connection->close();
        } else {
            connection->watchSilence(isRunning ? bound : bound - silent);
        }
    });
}

} // namespace wisteriahoist
