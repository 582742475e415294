/** @file server_stop_test.cpp Requests that meet the end of a server. */

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

constexpr milliseconds LongTime{20000}; ///< Far above what a test takes; no verdict depends on it.
constexpr std::string_view Answer = "\r\n\r\nanswered"; ///< Of the handler, whole.

/** Whether the handler answers at once, or waits like one whose request is at another node. */
enum class Work { AtOnce, Elsewhere };

/** A server whose event loop runs step by step, so that a stop can fall between any two steps. */
class SteppedServer
{
public:
    explicit SteppedServer(Work work)
        : work_(work), server_(std::make_shared<HttpServer>(
                               context_, "127.0.0.1", 0, HttpLimits{},
                               HttpHandler([this](HttpRequest) { return answer(); })))
    {
        server_->start();
    }

    /** @return Whether there was something to do. */
    bool step()
    {
        context_.restart();
        return context_.poll_one() > 0;
    }

    /** @return Whether there were @p count steps; a request that is elsewhere comes back amid them.
     */
    bool steps(size_t count)
    {
        for (size_t done = 0; done < count; ++done) {
            if (!step() && !(finishWork() && step())) {
                return false;
            }
        }
        return true;
    }

    /** What is elsewhere comes back. @return Whether there was anything. */
    bool finishWork() { return elsewhere_.cancel() > 0; }

    /** Runs until @p holds, or for long. */
    bool runUntil(RawHttpClient &caller, const std::function<bool()> &holds)
    {
        const auto end = std::chrono::steady_clock::now() + LongTime;
        for (caller.pollOnce(); !holds() && std::chrono::steady_clock::now() < end;
             caller.pollOnce()) {
            finishWork();
            context_.restart();
            context_.run_for(milliseconds(1));
        }
        return holds();
    }

    HttpServer &server() { return *server_; }
    size_t begun() const { return begun_; }

private:
    asio::awaitable<HttpResponse> answer()
    {
        ++begun_;
        if (work_ == Work::Elsewhere) {
            elsewhere_.expires_after(LongTime);
            beast::error_code ignored;
            co_await elsewhere_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        HttpResponse response(http::status::ok, 11);
        response.body() = "answered";
        co_return response;
    }

    Work work_;
    asio::io_context context_{1};
    asio::steady_timer elsewhere_{context_};
    std::shared_ptr<HttpServer> server_;
    size_t begun_ = 0;
};

/** How a request comes. */
struct Arrival {
    const char *name;
    bool kept;         ///< On a connection that has carried a request before.
    std::string bytes; ///< Before the connections are looked at for the last time.
    std::string rest;  ///< Behind that.
};

const std::string Head = "GET /x HTTP/1.1\r\nHost: h\r\n";
const std::string PostHead = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n";
const std::string LongField = "X: " + std::string(12000, 'x') + "\r\n"; ///< More than one read.

const std::vector<Arrival> OnNewConnections{
        {"on a new connection", false, Head + "\r\n", ""},
        {"on a new connection, in several reads", false, Head + LongField + "\r\n", ""},
};

const std::vector<Arrival> OnKeptConnections{
        {"on a kept connection", true, Head + "\r\n", ""},
        {"on a kept connection, in several reads", true, Head + LongField + "\r\n", ""},
        {"with a body", true, PostHead + "\r\nbody", ""},
        {"sent ahead", true, Head + "\r\n" + Head + LongField + "\r\n", ""},
};

const std::vector<Arrival> InParts{
        {"stopped amid its head", true, "GET /x HT", "TP/1.1\r\nHost: h\r\n\r\n"},
        {"stopped amid its body", true, PostHead + "\r\nbo", "dy"},
};

const std::string AsksForLeave = PostHead + "Expect: 100-continue\r\n\r\n";

const std::vector<Arrival> WithLeave{
        {"a body that waits for leave", true, AsksForLeave, "body"},
        {"a body that waits for leave, behind another request", true, Head + "\r\n" + AsksForLeave,
         "body"},
};

/** What became of the requests of one arrival. */
struct Outcome {
    bool stoppedAmid = false; ///< The server had more to do when it was stopped.
    bool ended = false;       ///< The caller's connection has ended.
    size_t begun = 0;
    size_t answered = 0;
    size_t left = 0; ///< Requests that still count as open when the caller has gone.
};

/** Stops the server when it has run @p steps since the request arrived. */
Outcome stopAfter(size_t steps, const Arrival &arrival, Work work)
{
    SteppedServer stepped(work);
    RawHttpClient caller(stepped.server().port());
    size_t before = 0;
    if (arrival.kept) {
        caller.send(Head + "\r\n");
        stepped.runUntil(caller, [&]() { return caller.count(Answer) == 1; });
        before = 1;
    }
    stepped.server().closeAfterResponses();
    caller.send(arrival.bytes);
    Outcome outcome;
    outcome.stoppedAmid = stepped.steps(steps);
    stepped.server().closeIdle();
    caller.send(arrival.rest);
    outcome.ended = stepped.runUntil(caller, [&]() { return caller.hasEnded(); });
    caller.leave();
    stepped.runUntil(caller, [&]() { return stepped.server().openConnections() == 0; });
    outcome.begun = stepped.begun() - before;
    outcome.answered = caller.count(Answer) - before;
    outcome.left = stepped.server().openRequests();
    return outcome;
}

/** @return Whether the caller got an answer for all that was begun, and nothing is left of it. */
bool isAnswered(const Outcome &outcome)
{
    return outcome.ended && outcome.answered > 0 && outcome.begun == outcome.answered
           && outcome.left == 0;
}

/** @return The moments of a stop at which @p holds is false, in words. */
std::string findMoments(const std::vector<Arrival> &arrivals,
                        const std::function<bool(const Outcome &)> &holds)
{
    std::string moments;
    for (const Arrival &arrival : arrivals) {
        for (const Work work : {Work::AtOnce, Work::Elsewhere}) {
            Outcome outcome{.stoppedAmid = true};
            for (size_t steps = 0; outcome.stoppedAmid; ++steps) {
                outcome = stopAfter(steps, arrival, work);
                if (!holds(outcome)) {
                    moments += std::string("\n") + arrival.name
                               + (work == Work::AtOnce ? "" : ", passed on") + ", after "
                               + std::to_string(steps) + " steps: begun "
                               + std::to_string(outcome.begun) + ", answered "
                               + std::to_string(outcome.answered) + ", left open "
                               + std::to_string(outcome.left);
                }
            }
        }
    }
    return moments;
}

} // namespace

// A caller's connection ends without an answer, and its request runs all the same. A stop takes the
// connection for idle and closes it, while the bytes of the request have been read but not looked
// at; they are parsed afterwards and passed on, and the answer finds no connection. The request
// then counts as open for good, and the process ends only when it must.
Test(server_stop, what_was_passed_on_is_answered)
{
    for (const std::vector<Arrival> &arrivals : {OnNewConnections, OnKeptConnections}) {
        const std::string moments = findMoments(arrivals, [](const Outcome &outcome) {
            return outcome.begun == outcome.answered && outcome.left == 0;
        });
        cr_assert(moments.empty(), "%s", moments.c_str());
    }
}

// A caller sends on a connection that it has used before, and the connection ends under it: some or
// all of the request's bytes have arrived when the connection is looked at for the last time, but
// no whole head has been parsed, so it counts as idle. The caller can't tell that from a request
// that was lost, and one that must not run twice is not sent again.
Test(server_stop, what_has_begun_to_arrive_is_answered)
{
    for (const std::vector<Arrival> &arrivals : {OnKeptConnections, InParts}) {
        const std::string moments = findMoments(arrivals, isAnswered);
        cr_assert(moments.empty(), "%s", moments.c_str());
    }
}

// A caller asks for leave to send its body, and a node that stops gives it, but reads no more: the
// caller waits for an answer until the node ends, and the node waits for that request. The
// go-ahead was taken for an answer, behind which nothing is read while a server stops.
Test(server_stop, a_body_that_was_given_leave_is_read)
{
    const std::string moments = findMoments(WithLeave, isAnswered);
    cr_assert(moments.empty(), "%s", moments.c_str());
}

// A caller has connected and sent its request, and its connection is reset: the server had not come
// to accepting it when it stopped listening. With little processor time that is the fate of whoever
// comes in the last moments of a stop.
Test(server_stop, who_has_connected_is_answered)
{
    const std::string moments = findMoments(OnNewConnections, isAnswered);
    cr_assert(moments.empty(), "%s", moments.c_str());
}
