/** @file http_connection.cpp Server side of one HTTP/1.1 connection. */

#include "adapter/http/http_connection.h"

#include "adapter/http/header_rules.h"
#include "adapter/task/background_task.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {

/**
 * Maximum number of requests of one connection that run concurrently. A pipelining caller usually
 * has a handful in flight; the limit keeps one connection from occupying all slots of a backend
 * server.
 */
constexpr size_t MaxConcurrentRequests = 16;
/** Bytes that are buffered behind a request that waits. Reading continues during the wait so that
 *  a disconnect of the caller is noticed. */
constexpr size_t MaxBufferedBytes = 64 * 1024;
/**
 * How long bytes are read and discarded after the last response. Closing a socket with unread bytes
 * resets the connection, and the caller may lose a response that it has not read yet. A caller that
 * has read it closes its side immediately.
 */
constexpr milliseconds LingerTime{1000};
/** The same for a caller that goes on sending a body which was rejected at its head. */
constexpr milliseconds MaxLingerTime{5000};
/** Bodies that are being received need this long to make room. */
constexpr milliseconds RetryAfterFullMemory{1000};

/** @return The response to input that the parser rejected. */
HttpResponse makeParserErrorResponse(beast::error_code error, const HttpLimits &limits)
{
    if (error == http::error::header_limit) {
        return makeProblemResponse({http::status::request_header_fields_too_large,
                                    "header-too-large",
                                    "The header section exceeds the limit of "
                                            + std::to_string(limits.headerBytes) + " bytes."});
    }
    if (error == http::error::body_limit) {
        return makeProblemResponse(
                {http::status::payload_too_large, "body-too-large",
                 "The body exceeds the limit of " + std::to_string(limits.bodyBytes) + " bytes."});
    }
    return makeProblemResponse({http::status::bad_request, "malformed-request", error.message()});
}

HttpResponse makeBadRequestResponse(const std::string &detail)
{
    return makeProblemResponse(
            {http::status::bad_request, "malformed-request", detail, milliseconds(0)});
}

/** @return Whether @p request must not run concurrently with other requests of its connection. */
bool runsExclusively(const HttpRequest &request)
{
    const bool safe = request.method() == http::verb::get || request.method() == http::verb::head;
    return !safe || !request.body().empty();
}

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> server, tcp::socket socket,
                               MemoryBudget::Reservation memory)
    : server_(std::move(server)), socket_(std::move(socket)), idleTimer_(socket_.get_executor()),
      memory_(std::move(memory)), bodyMemory_(server_->requestMemory)
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
    recordActivity();
    startIdleTimer(server_->limits.idle);
    asio::co_spawn(
            socket_.get_executor(), [self = shared_from_this()]() { return self->readLoop(); },
            logFailureOf("connection", [self = shared_from_this()]() { self->close(); }));
}

asio::awaitable<void> HttpConnection::readLoop()
{
    while (!closed_) {
        if (canCloseIdle()) {
            close();
            co_return;
        }
        beast::error_code error;
        const size_t count = co_await socket_.async_read_some(
                asio::buffer(chunk_), asio::redirect_error(asio::use_awaitable, error));
        if (closed_) {
            // The read may have completed before the close, with its bytes not parsed yet. A
            // request among them would be executed without a connection for its response.
            co_return;
        }
        if (error == asio::error::operation_aborted) {
            continue; // Cancelled by closeIfIdle(): canCloseIdle() decides.
        }
        if (error) {
            onCallerDisconnected();
            co_return;
        }
        recordActivity();
        if (!reading_) {
            continue;
        }
        if (buffer_.size() + count > MaxBufferedBytes && waitingRequest_) {
            // The connection closes after the pending responses; the caller resends the rest.
            stopReading();
            continue;
        }
        if (!memory_.resize(OwnBytes + buffer_.size() + count)) {
            rejectForMemory();
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
    while (reading_ && !waitingRequest_ && buffer_.size() > 0 && parseOne()) { }
}

bool HttpConnection::parseOne()
{
    if (!parser_) {
        parser_.emplace();
        parser_->header_limit(server_->limits.headerBytes);
        parser_->body_limit(server_->limits.bodyBytes);
        parser_->eager(true);
        server_->openRequests.fetch_add(1, std::memory_order_relaxed);
        countedAsOpen_ = true;
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
        reject(makeParserErrorResponse(error, server_->limits));
        return false;
    }
    if (!hadHead && parser_->is_header_done() && !checkHead()) {
        return false;
    }
    if (!reserveBody()) {
        rejectForMemory();
        return false;
    }
    if (!parser_->is_done()) {
        return buffer_.size() > 0;
    }
    HttpRequest request = parser_->release();
    parser_.reset();
    onRequest(std::move(request));
    return true;
}

bool HttpConnection::reserveBody()
{
    if (!parser_->is_header_done()) {
        return true;
    }
    const size_t received = parser_->get().body().size();
    const size_t announced = static_cast<size_t>(parser_->content_length().value_or(0));
    const size_t needed = std::max(received, announced);
    return needed <= bodyMemory_.bytes() || bodyMemory_.resize(needed);
}

/** The request has provably not run; the rest of its body is read and discarded. */
void HttpConnection::rejectForMemory()
{
    ++server_->rejectedForMemory;
    reject(makeProblemResponse({http::status::service_unavailable, "memory-full",
                                "The request has not run: this node holds too many large bodies.",
                                RetryAfterFullMemory}));
}

/** Checks the header section of the current request. @return Whether reading it may continue. */
bool HttpConnection::checkHead()
{
    headAt_ = std::chrono::steady_clock::now();
    parser_->eager(true);
    // With ambiguous framing the two ends of a connection may disagree on where a message ends. The
    // remaining bytes of one caller could then be parsed as another caller's request.
    if (hasAmbiguousFraming(parser_->get())) {
        reject(makeBadRequestResponse(
                "Ambiguous body length: several Content-Length fields, Content-Length with "
                "Transfer-Encoding, or an unsupported transfer coding."));
        return false;
    }
    if (!reserveBody()) {
        rejectForMemory();
        return false;
    }
    if (!parser_->is_done()
        && beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        const auto exchange = std::make_shared<Exchange>();
        exchange->isInterim = true;
        exchange->response.emplace(http::status::continue_, 11);
        pending_.push_back(exchange);
        startWriting(exchange);
    }
    return true;
}

void HttpConnection::onRequest(HttpRequest request)
{
    if (request.count(http::field::host) != 1) {
        reject(makeBadRequestResponse("The request must have exactly one Host field."));
        return;
    }
    if (canRun(request)) {
        dispatch(std::move(request));
    } else {
        waitingRequest_ = std::move(request);
    }
}

bool HttpConnection::canRun(const HttpRequest &request) const
{
    if (pending_.empty()) {
        return true;
    }
    return !runsExclusively(request) && pending_.size() < MaxConcurrentRequests
           && std::none_of(pending_.begin(), pending_.end(),
                           [](const ExchangePtr &exchange) { return exchange->runsExclusively; });
}

void HttpConnection::dispatch(HttpRequest request)
{
    const auto exchange = std::make_shared<Exchange>();
    exchange->headOnly = request.method() == http::verb::head;
    exchange->keepAlive = request.keep_alive();
    exchange->runsExclusively = runsExclusively(request);
    reading_ = exchange->keepAlive; // Stop reading after the last request.
    countedAsOpen_ = false;         // The exchange counts as open from here on.
    exchange->disconnect->setArrivalTime(
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - headAt_));
    exchange->disconnect->holdMemory(std::move(bodyMemory_));
    bodyMemory_ = MemoryBudget::Reservation(server_->requestMemory);
    pending_.push_back(exchange);
    asio::co_spawn(
            socket_.get_executor(),
            [self = shared_from_this(), exchange, request = std::move(request)]() mutable {
                return self->runHandler(exchange, std::move(request));
            },
            logFailureOf("response", [self = shared_from_this()]() { self->close(); }));
}

void HttpConnection::dispatchWaiting()
{
    if (waitingRequest_ && reading_ && canRun(*waitingRequest_)) {
        HttpRequest request = std::move(*waitingRequest_);
        waitingRequest_.reset();
        dispatch(std::move(request));
    }
    parse();
}

void HttpConnection::reject(HttpResponse response)
{
    // After malformed input the start of the next request is unknown, so the connection closes.
    const auto exchange = std::make_shared<Exchange>();
    exchange->keepAlive = false;
    exchange->response = std::move(response);
    if (!countedAsOpen_) {
        server_->openRequests.fetch_add(1, std::memory_order_relaxed);
    }
    countedAsOpen_ = false;
    reading_ = false;
    parser_.reset();
    (void)bodyMemory_.resize(0);
    pending_.push_back(exchange);
    startWriting(exchange);
}

asio::awaitable<void> HttpConnection::runHandler(ExchangePtr exchange, HttpRequest request)
{
    // What a handler that fails has done is unknown, so the caller isn't told that nothing ran.
    HttpResponse response(http::status::internal_server_error, 11);
    try {
        response = co_await server_->handler(std::move(request), exchange->disconnect);
    } catch (...) {
        logTaskFailure("request", std::current_exception());
    }
    exchange->delivery.emplace(server_->responseMemory, response.body().size());
    exchange->response = std::move(response);
    co_await writeResponses();
}

void HttpConnection::startWriting(const ExchangePtr &exchange)
{
    if (!writing_ && pending_.front() == exchange) {
        asio::co_spawn(
                socket_.get_executor(),
                [self = shared_from_this()]() { return self->writeResponses(); },
                logFailureOf("response", [self = shared_from_this()]() { self->close(); }));
    }
}

asio::awaitable<void> HttpConnection::writeResponses()
{
    const auto self = shared_from_this();
    if (writing_) {
        co_return;
    }
    writing_ = true;
    while (!closed_ && !pending_.empty() && pending_.front()->response) {
        const ExchangePtr exchange = pending_.front();
        if ((server_->stopping || server_->closingAfterResponses) && !exchange->isInterim) {
            stopReading();
        }
        const bool last = !reading_ && pending_.size() == 1 && !exchange->isInterim;
        const bool written = co_await write(*exchange, last);
        if (closed_) {
            break;
        }
        pending_.pop_front();
        if (!exchange->isInterim) {
            server_->openRequests.fetch_sub(1, std::memory_order_relaxed);
        }
        if (!written) {
            close();
        } else if (!reading_ && pending_.empty()) {
            shutdownSending();
        } else {
            dispatchWaiting();
        }
    }
    writing_ = false;
    if (!closed_ && server_->closingIdle) {
        closeIfIdle();
    }
}

asio::awaitable<bool> HttpConnection::write(Exchange &exchange, bool last)
{
    HttpResponse &response = *exchange.response;
    recordActivity();
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
        // The response to HEAD states the length but has no body, which the serializer would send.
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
    recordActivity();
    co_return !error;
}

/** Stops reading; the connection closes after the responses to the dispatched requests. */
void HttpConnection::stopReading()
{
    reading_ = false;
    waitingRequest_.reset();
    parser_.reset();
    (void)bodyMemory_.resize(0);
    // Drop a queued 100 Continue: its body is not read and no final response would follow. If it is
    // the first in the queue it may be in transmission; the connection closes after it.
    if (pending_.size() > 1 && pending_.back()->isInterim) {
        pending_.pop_back();
    }
}

void HttpConnection::onCallerDisconnected()
{
    stopReading();
    const std::deque<ExchangePtr> exchanges = pending_;
    for (const ExchangePtr &exchange : exchanges) {
        exchange->disconnect->markDisconnected();
    }
    // Pending responses are still written: the caller may have closed only its sending side.
    if (pending_.empty() || sendingShutDown_) {
        close();
    }
}

void HttpConnection::shutdownSending()
{
    beast::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    sendingShutDown_ = true;
    lingerEnd_ = std::chrono::steady_clock::now() + MaxLingerTime;
    startIdleTimer(LingerTime);
}

void HttpConnection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    size_t openCount = countedAsOpen_ ? 1 : 0;
    for (const ExchangePtr &exchange : pending_) {
        exchange->disconnect->markDisconnected();
        openCount += exchange->isInterim ? 0 : 1;
    }
    countedAsOpen_ = false;
    pending_.clear();
    server_->openRequests.fetch_sub(openCount, std::memory_order_relaxed);
    idleTimer_.cancel();
    beast::error_code ignored;
    socket_.close(ignored);
}

bool HttpConnection::isIdle() const
{
    return pending_.empty() && !countedAsOpen_ && !waitingRequest_ && !sendingShutDown_;
}

bool HttpConnection::canCloseIdle() const
{
    beast::error_code ignored;
    return server_->closingIdle && isIdle() && socket_.available(ignored) == 0;
}

void HttpConnection::closeIfIdle()
{
    if (isIdle()) {
        // Only the read loop knows whether a read has just completed with the first bytes of a
        // request. Cancelling a pending read wakes it; it then closes the connection or continues.
        beast::error_code ignored;
        socket_.cancel(ignored);
    }
}

void HttpConnection::recordActivity()
{
    lastActivity_ = std::chrono::steady_clock::now();
}

/**
 * Closes an inactive connection: no request arrives, or the caller does not read its responses.
 * Inactivity is normal while a request runs. One timer that checks the last activity when it
 * expires costs less than restarting a timer with each request.
 */
void HttpConnection::startIdleTimer(milliseconds after)
{
    idleTimer_.expires_after(after);
    idleTimer_.async_wait([self = weak_from_this()](beast::error_code error) {
        const std::shared_ptr<HttpConnection> connection = self.lock();
        if (error || !connection || connection->closed_) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const auto idleFor
                = std::chrono::duration_cast<milliseconds>(now - connection->lastActivity_);
        const milliseconds bound = connection->server_->limits.idle;
        const bool isRunning
                = !connection->pending_.empty() && !connection->pending_.front()->response;
        if (connection->sendingShutDown_ && idleFor < LingerTime && now < connection->lingerEnd_) {
            connection->startIdleTimer(LingerTime - idleFor);
        } else if (connection->sendingShutDown_ || (idleFor >= bound && !isRunning)) {
            connection->close();
        } else {
            connection->startIdleTimer(isRunning ? bound : bound - idleFor);
        }
    });
}

} // namespace wisteriahoist
