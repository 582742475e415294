/** @file server_stop_test.cpp Requests that arrive while an HTTP server stops. */

#include "adapter/http/http_server.h"
#include "support/raw_http_client.h"
#include "support/test_section.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds LongTime{20000}; ///< Far longer than a test runs; no result depends on it.
constexpr std::string_view ResponseEnd = "\r\n\r\nanswered"; ///< End of the header and the body.

/** Whether the handler responds immediately or waits, as if the request was at another node. */
enum class HandlerMode { Immediate, Waiting };

/** Server whose event loop runs step by step, so that it can be stopped between any two steps. */
class SteppedServer
{
public:
    explicit SteppedServer(HandlerMode mode)
        : mode_(mode), server_(std::make_shared<HttpServer>(
                               context_, "127.0.0.1", 0, HttpLimits{},
                               HttpHandler([this](HttpRequest) { return respond(); })))
    {
        server_->start();
    }

    /** Runs one event handler. @return Whether one was ready. */
    bool step()
    {
        context_.restart();
        return context_.poll_one() > 0;
    }

    /** Runs @p count steps; if none is ready, lets a waiting handler complete. @return Whether
     *  there were @p count steps. */
    bool steps(size_t count)
    {
        for (size_t done = 0; done < count; ++done) {
            if (!step() && !(completeWaiting() && step())) {
                return false;
            }
        }
        return true;
    }

    /** Completes the wait of handlers with HandlerMode::Waiting. @return Whether any was waiting.
     */
    bool completeWaiting() { return waitTimer_.cancel() > 0; }

    /** Runs until @p holds returns true, at most for LongTime. @return Whether it holds. */
    bool runUntil(RawHttpClient &caller, const std::function<bool()> &holds)
    {
        const auto end = std::chrono::steady_clock::now() + LongTime;
        for (caller.pollOnce(); !holds() && std::chrono::steady_clock::now() < end;
             caller.pollOnce()) {
            completeWaiting();
            context_.restart();
            context_.run_for(milliseconds(1));
        }
        return holds();
    }

    HttpServer &server() { return *server_; }
    size_t dispatched() const { return dispatched_; }

private:
    asio::awaitable<HttpResponse> respond()
    {
        ++dispatched_;
        if (mode_ == HandlerMode::Waiting) {
            waitTimer_.expires_after(LongTime);
            beast::error_code ignored;
            co_await waitTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        HttpResponse response(http::status::ok, 11);
        response.body() = "answered";
        co_return response;
    }

    HandlerMode mode_;
    asio::io_context context_{1};
    asio::steady_timer waitTimer_{context_};
    std::shared_ptr<HttpServer> server_;
    size_t dispatched_ = 0;
};

/** Describes how a request arrives. */
struct Arrival {
    const char *name;
    bool kept;         ///< Whether the connection has carried a request before.
    std::string bytes; ///< Bytes that arrive before closeIdle().
    std::string rest;  ///< Bytes that arrive after closeIdle().
};

const std::string Head = "GET /x HTTP/1.1\r\nHost: h\r\n";
const std::string PostHead = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n";
const std::string LongField = "X: " + std::string(12000, 'x') + "\r\n"; ///< More than one read.

const std::vector<Arrival> OnNewConnections{
        {"new connection", false, Head + "\r\n", ""},
        {"new connection, several reads", false, Head + LongField + "\r\n", ""},
};

const std::vector<Arrival> OnKeptConnections{
        {"kept-alive connection", true, Head + "\r\n", ""},
        {"kept-alive connection, several reads", true, Head + LongField + "\r\n", ""},
        {"with a body", true, PostHead + "\r\nbody", ""},
        {"pipelined", true, Head + "\r\n" + Head + LongField + "\r\n", ""},
};

const std::vector<Arrival> PartialRequests{
        {"stopped in the middle of the header section", true, "GET /x HT",
         "TP/1.1\r\nHost: h\r\n\r\n"},
        {"stopped in the middle of the body", true, PostHead + "\r\nbo", "dy"},
};

const std::string ExpectContinueHead = PostHead + "Expect: 100-continue\r\n\r\n";

const std::vector<Arrival> WithExpectContinue{
        {"body after 100 Continue", true, ExpectContinueHead, "body"},
        {"body after 100 Continue, pipelined behind another request", true,
         Head + "\r\n" + ExpectContinueHead, "body"},
};

/** Result of one stop of the server. */
struct Outcome {
    bool stoppedEarly = false; ///< Whether event handlers were still ready at the stop.
    bool ended = false;        ///< Whether the server has closed the connection.
    size_t dispatched = 0;     ///< Requests dispatched to the handler.
    size_t answered = 0;       ///< Responses received by the client.
    size_t stillOpen = 0; ///< Requests still counted as open after the client has disconnected.
};

/** Stops the server @p steps event handlers after the request has arrived. */
Outcome stopAfter(size_t steps, const Arrival &arrival, HandlerMode mode)
{
    SteppedServer steppedServer(mode);
    RawHttpClient caller(steppedServer.server().port());
    size_t before = 0;
    if (arrival.kept) {
        caller.send(Head + "\r\n");
        steppedServer.runUntil(caller, [&]() { return caller.count(ResponseEnd) == 1; });
        before = 1;
    }
    steppedServer.server().closeAfterResponses();
    caller.send(arrival.bytes);
    Outcome outcome;
    outcome.stoppedEarly = steppedServer.steps(steps);
    steppedServer.server().closeIdle();
    caller.send(arrival.rest);
    outcome.ended = steppedServer.runUntil(caller, [&]() { return caller.hasEnded(); });
    caller.disconnect();
    steppedServer.runUntil(caller, [&]() { return steppedServer.server().openConnections() == 0; });
    outcome.dispatched = steppedServer.dispatched() - before;
    outcome.answered = caller.count(ResponseEnd) - before;
    outcome.stillOpen = steppedServer.server().openRequests();
    return outcome;
}

/** @return Whether at least one request and each dispatched one was answered, none is still counted
 *          as open, and the connection was closed. */
bool isAnswered(const Outcome &outcome)
{
    return outcome.ended && outcome.answered > 0 && outcome.dispatched == outcome.answered
           && outcome.stillOpen == 0;
}

/** @return Description of all stop positions for which @p holds returns false; empty if none. */
std::string findFailures(const std::vector<Arrival> &arrivals,
                         const std::function<bool(const Outcome &)> &holds)
{
    std::string failures;
    for (const Arrival &arrival : arrivals) {
        for (const HandlerMode mode : {HandlerMode::Immediate, HandlerMode::Waiting}) {
            Outcome outcome{.stoppedEarly = true};
            for (size_t steps = 0; outcome.stoppedEarly; ++steps) {
                outcome = stopAfter(steps, arrival, mode);
                if (!holds(outcome)) {
                    failures += std::string("\n") + arrival.name
                                + (mode == HandlerMode::Immediate ? "" : ", forwarded") + ", after "
                                + std::to_string(steps) + " steps: dispatched "
                                + std::to_string(outcome.dispatched) + ", answered "
                                + std::to_string(outcome.answered) + ", still open "
                                + std::to_string(outcome.stillOpen);
                }
            }
        }
    }
    return failures;
}

} // namespace

// Guards against executing a request whose connection closes without a response. The server
// considered the connection idle and closed it while bytes of a request had been read but not
// parsed. They were parsed and dispatched afterwards, without a connection for the response. The
// request then counted as open forever, and the process exited only at its stop deadline.
Test(server_stop, dispatched_requests_are_answered)
{
    for (const std::vector<Arrival> &arrivals : {OnNewConnections, OnKeptConnections}) {
        const std::string failures = findFailures(arrivals, [](const Outcome &outcome) {
            return outcome.dispatched == outcome.answered && outcome.stillOpen == 0;
        });
        cr_assert(failures.empty(), "%s", failures.c_str());
    }
}

// Guards against closing a kept-alive connection on which a request is arriving: some or all of its
// bytes have arrived at the last check, but no complete header section has been parsed, so the
// connection counts as idle. The caller cannot distinguish this from a lost request and does not
// resend one that must not run twice.
Test(server_stop, partially_received_requests_are_answered)
{
    for (const std::vector<Arrival> &arrivals : {OnKeptConnections, PartialRequests}) {
        const std::string failures = findFailures(arrivals, isAnswered);
        cr_assert(failures.empty(), "%s", failures.c_str());
    }
}

// Guards against a stopping server that sends 100 Continue but does not read the body: the caller
// waits for a response until the node exits, and the node waits for that request. The interim
// response was treated like a final one, after which a stopping server does not read.
Test(server_stop, body_after_100_continue_is_read)
{
    const std::string failures = findFailures(WithExpectContinue, isAnswered);
    cr_assert(failures.empty(), "%s", failures.c_str());
}

// Guards against resetting connections in the listen queue: a caller has connected and sent its
// request, but the server stops listening before it has accepted the connection. Under CPU pressure
// this affects callers that connect in the last moments of a stop.
Test(server_stop, connections_in_the_listen_queue_are_answered)
{
    const std::string failures = findFailures(OnNewConnections, isAnswered);
    cr_assert(failures.empty(), "%s", failures.c_str());
}
