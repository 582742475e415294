/** @file endless_response_test.cpp Servers that send bytes without end, until the client closes. */

#include "adapter/http/http_client.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

#include <sstream>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr size_t Slots = 12;
constexpr size_t Requests = 2 * Slots; ///< At once: more than a server runs.
constexpr size_t MiB = 1024 * 1024;
constexpr milliseconds RequestTime{60000};
/** A tenth of the memory of a small VM (160 MB). */
constexpr size_t HeldBound = 16 * MiB;

constexpr int SendBufferBytes = 64 * 1024;

/** Sends a beginning, then one piece again and again until the client closes. */
class EndlessServer : public std::enable_shared_from_this<EndlessServer>
{
public:
    EndlessServer(asio::io_context &context, std::string beginning, std::string piece)
        : context_(context),
          acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          beginning_(std::move(beginning)), piece_(std::move(piece))
    { }

    void start()
    {
        asio::co_spawn(
                context_, [self = shared_from_this()]() { return self->acceptLoop(); },
                asio::detached);
    }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    /** @return The most bytes sent on the connections that were open at one time. */
    size_t mostOpen() const { return mostOpen_; }

private:
    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            asio::co_spawn(
                    context_,
                    [self = shared_from_this(), socket = std::move(socket)]() mutable {
                        return self->serve(std::move(socket));
                    },
                    asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        beast::error_code error;
        // What waits here is no memory of the client's.
        socket.set_option(asio::socket_base::send_buffer_size(SendBufferBytes), error);
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(socket, asio::buffer(beginning_),
                                   asio::redirect_error(asio::use_awaitable, error));
        size_t sent = 0;
        while (!error) {
            const size_t count = co_await asio::async_write(
                    socket, asio::buffer(piece_), asio::redirect_error(asio::use_awaitable, error));
            sent += count;
            open_ += count;
            mostOpen_ = std::max(mostOpen_, open_);
        }
        open_ -= sent;
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    std::string beginning_;
    std::string piece_;
    size_t open_ = 0; ///< Bytes sent on connections that are open.
    size_t mostOpen_ = 0;
};

/** What came of many requests at once. */
struct Endings {
    size_t ended = 0;
    size_t malformed = 0;
    size_t mostHeld = 0; ///< Bytes held for responses at one time.
    size_t mostSent = 0; ///< The same, with what is on its way, as the server sees it.
};

asio::awaitable<void> get(HttpClient &client, Endings &endings)
{
    HttpRequest request(http::verb::get, "/", 11);
    const auto result = co_await client.exchange(std::move(request), RequestTime);
    ++endings.ended;
    endings.malformed += !result && result.assume_error().code == FailureCode::Malformed ? 1 : 0;
}

Endings requestAtOnce(const std::string &beginning, const std::string &piece,
                      bool allowUnframed = false)
{
    asio::io_context context;
    const auto server = std::make_shared<EndlessServer>(context, beginning, piece);
    server->start();
    PoolLimits limits;
    limits.allowUnframed = allowUnframed;
    HttpClient client(context.get_executor(), "127.0.0.1", server->port(), limits);
    Endings endings;
    for (size_t number = 0; number < Requests; ++number) {
        asio::co_spawn(
                context, [&]() { return get(client, endings); }, asio::detached);
    }
    (void)runUntilHolds(context, [&]() {
        endings.mostHeld = std::max(endings.mostHeld, client.heldResponseBytes());
        return endings.ended == Requests;
    });
    endings.mostSent = server->mostOpen();
    return endings;
}

std::string makeChunk(size_t bytes)
{
    std::stringstream size;
    size << std::hex << bytes;
    return size.str() + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a node that is killed for its memory because backend servers send bodies without
// end: all responses together are bounded, and each ends long before its request's time is over.
Test(endless_response, bodies_are_bounded_together)
{
    SECTION("in chunks")
    {
        const Endings endings = requestAtOnce(Chunked, makeChunk(64 * 1024));
        cr_assert_eq(endings.malformed, Requests);
        cr_assert_leq(endings.mostHeld, HeldBound);
        cr_assert_leq(endings.mostSent, 2 * HeldBound);
    }
    SECTION("until the connection ends")
    {
        const Endings endings
                = requestAtOnce("HTTP/1.1 200 OK\r\n\r\n", std::string(64 * 1024, 'x'), true);
        cr_assert_eq(endings.malformed, Requests);
        cr_assert_leq(endings.mostHeld, HeldBound);
        cr_assert_leq(endings.mostSent, 2 * HeldBound);
    }
    SECTION("of a length that nobody can hold")
    {
        const Endings endings
                = requestAtOnce("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                                std::string(64 * 1024, 'x'));
        cr_assert_eq(endings.malformed, Requests);
        cr_assert_leq(endings.mostHeld, HeldBound);
    }
}

// Guards against reading bytes that are no response until the request's time is over.
Test(endless_response, bytes_that_are_no_response_end_the_exchange)
{
    const auto endsAtOnce = [](const std::string &beginning, const std::string &piece) {
        const Endings endings = requestAtOnce(beginning, piece);
        cr_assert_eq(endings.malformed, Requests);
        cr_assert_leq(endings.mostSent, HeldBound);
    };
    SECTION("in a head")
    {
        endsAtOnce("HTTP/1.1 200 OK\r\n", "Field: " + std::string(1000, 'x') + "\r\n");
        endsAtOnce("HTTP/1.1 200 OK\r\nField: ", std::string(1000, 'x'));
        endsAtOnce("", std::string(1000, 'x'));
        endsAtOnce("", std::string(1000, '\0'));
    }
    SECTION("in the head of a chunk")
    {
        endsAtOnce(Chunked + "5;", std::string(1000, 'x'));
        endsAtOnce(Chunked, std::string(1000, '0'));
    }
    SECTION("in the fields after the last chunk")
    {
        endsAtOnce(Chunked + "0\r\n", "Field: " + std::string(1000, 'x') + "\r\n");
        endsAtOnce(Chunked + "0\r\nField: ", std::string(1000, 'x'));
    }
    SECTION("as responses that are not final")
    {
        endsAtOnce("", "HTTP/1.1 103 Early Hints\r\n\r\n");
        endsAtOnce("", "HTTP/1.1 100 Continue\r\nField: " + std::string(1000, 'x') + "\r\n\r\n");
        endsAtOnce("HTTP/1.1 103 Early Hints\r\n", "Field: " + std::string(1000, 'x') + "\r\n");
    }
    SECTION("before a response")
    {
        endsAtOnce("", "\r\n");
        endsAtOnce("", std::string(1000, ' '));
        endsAtOnce("HTTP/1.1 ", std::string(1000, '0'));
        endsAtOnce("HTTP/1.1 200 ", std::string(1000, 'x'));
    }
    SECTION("after a status that is none")
    {
        endsAtOnce("HTTP/1.1 000 OK\r\nContent-Length: 99999999999\r\n\r\n",
                   std::string(64 * 1024, 'x'));
        endsAtOnce("HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n", makeChunk(64 * 1024));
    }
}

// Guards against whole responses that are rejected because others have no end.
Test(endless_response, a_whole_response_finds_room_beside_endless_ones)
{
    constexpr size_t WholeBytes = 256 * 1024;
    ResponseBudget budget(HeldBound);
    size_t cutOff = 0;
    std::vector<std::unique_ptr<ResponseBudget::Share>> endless;
    const auto countCut = [&cutOff]() { ++cutOff; };
    for (size_t number = 0; number < Requests; ++number) {
        endless.push_back(std::make_unique<ResponseBudget::Share>(budget, countCut));
    }
    const auto isFull = [&cutOff]() { return cutOff > 0; };
    for (size_t bytes = 0; !isFull(); bytes += WholeBytes) {
        for (const auto &share : endless) {
            (void)share->resize(bytes);
        }
    }
    ResponseBudget::Share whole(budget, countCut);
    cr_assert(whole.resize(WholeBytes));
    cr_assert(whole.resize(2 * WholeBytes));
    cr_assert_lt(cutOff, Requests);
    endless.clear();
    cr_assert_eq(budget.held(), 2 * WholeBytes);
}
