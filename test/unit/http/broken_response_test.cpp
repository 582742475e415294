/** @file broken_response_test.cpp Servers that send bytes which are not a response. */

#include "adapter/http/http_client.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

#include <cctype>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds Timeout{2000};

const std::string Fields = "Content-Length: 4\r\n\r\nbody";

std::string answerWithStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\n" + Fields;
}

std::string answerWithField(const std::string &field)
{
    return "HTTP/1.1 200 OK\r\n" + field + "\r\n" + Fields;
}

/** One server that sends one text, and a client of it. */
struct Fixture {
    explicit Fixture(const BackendScript &script, bool allowUnframed = false)
        : server(std::make_shared<ScriptedBackend>(context, std::vector<BackendScript>{script})),
          client(context.get_executor(), "127.0.0.1", server->port(), makeLimits(allowUnframed))
    {
        server->start();
    }

    static PoolLimits makeLimits(bool allowUnframed)
    {
        PoolLimits limits;
        limits.allowUnframed = allowUnframed;
        return limits;
    }

    Result<HttpResponse> get()
    {
        HttpRequest request(http::verb::get, "/", 11);
        return runUntil(context, client.exchange(std::move(request), Timeout));
    }

    asio::io_context context;
    std::shared_ptr<ScriptedBackend> server;
    HttpClient client;
};

/** @return Whether @p answer is rejected and its connection closed, whatever ends a response. */
bool isRejected(const std::string &answer)
{
    for (const bool allowUnframed : {false, true}) {
        Fixture fixture({answer}, allowUnframed);
        const Result<HttpResponse> result = fixture.get();
        const bool malformed = !result && result.assume_error().code == FailureCode::Malformed;
        const bool closed = runUntilHolds(fixture.context,
                                          [&]() { return fixture.server->lostConnections() == 1; });
        if (!malformed || !closed || fixture.client.idleConnections() != 0) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against passing on a response whose status is none: HTTP has those from 100 to 599.
Test(broken_response, numbers_that_are_no_status)
{
    SECTION("of three digits")
    {
        for (const std::string status : {"000", "001", "007", "050", "099", "600", "799", "999"}) {
            cr_assert(isRejected(answerWithStatus(status + " OK")), "%s", status.c_str());
        }
    }
    SECTION("of other forms")
    {
        for (const std::string status :
             {"", "2", "20", "2000", "abc", "-20", "+20", "2 0", "0x1", "20\x01", " 200"}) {
            cr_assert(isRejected(answerWithStatus(status + " OK")), "%s", status.c_str());
        }
    }
    SECTION("before the response")
    {
        const std::string whole = answerWithStatus("200 OK");
        cr_assert(isRejected("HTTP/1.1 099 Early\r\n\r\n" + whole));
        cr_assert(isRejected("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + Fields));
    }
    SECTION("without waiting for the end of the body")
    {
        cr_assert(isRejected("HTTP/1.1 000 OK\r\nContent-Length: 100\r\n\r\nbegun"));
        cr_assert(isRejected("HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        cr_assert(isRejected("HTTP/1.1 000 OK\r\n\r\nbegun"));
    }
}

// Guards against rejecting responses with a status that no specification has.
Test(broken_response, statuses_without_a_name_are_passed_on)
{
    for (const unsigned status : {299U, 418U, 499U, 520U, 599U}) {
        Fixture fixture({answerWithStatus(std::to_string(status) + " Name")});
        const Result<HttpResponse> result = fixture.get();
        cr_assert(result && result.assume_value().result_int() == status, "%u", status);
        cr_assert_eq(fixture.client.idleConnections(), 1U);
    }
}

// Guards against passing on a response whose header section is none, or taking its body's length
// from such a section.
Test(broken_response, fields_that_are_none)
{
    const auto rejectsField = [](const std::string &field) {
        cr_assert(isRejected(answerWithField(field)), "in the head: %s", field.c_str());
        const std::string whole = answerWithStatus("200 OK");
        cr_assert(isRejected("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + whole),
                  "in an interim response: %s", field.c_str());
        cr_assert(isRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "4\r\nbody\r\n0\r\n"
                             + field + "\r\n\r\n"),
                  "after the last chunk: %s", field.c_str());
    };
    SECTION("a blank in the name")
    {
        for (const std::string field : {"Na me: x", "Name : x", " Name: x", "Name\t: x",
                                        "\tName: x", "Content-Length : 2", "Content Length: 2"}) {
            rejectsField(field);
        }
    }
    SECTION("another byte that no name has")
    {
        constexpr int Bytes = 256;
        constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~"; // RFC 9110, "token".
        for (int byte = 0; byte < Bytes; ++byte) {
            const bool isAlphanumeric = byte < 128 && std::isalnum(byte) != 0;
            const auto letter = static_cast<char>(byte);
            if (!isAlphanumeric && letter != ':' && Symbols.find(letter) == Symbols.npos) {
                rejectsField(std::string("Na") + letter + "me: x");
            }
        }
    }
    SECTION("no name, or no colon")
    {
        for (const std::string field : {": x", "Name", "Name x", ":"}) {
            rejectsField(field);
        }
    }
    SECTION("a control byte in the value")
    {
        for (const char byte : {'\0', '\x01', '\b', '\x1f', '\x7f', '\r'}) {
            rejectsField(std::string("Name: x") + byte + "y");
        }
    }
}

// Guards against delivering a body that ends elsewhere than the server's: two lengths, or none that
// is a number.
Test(broken_response, lengths_that_contradict_each_other)
{
    for (const std::string length :
         {"Content-Length: +4", "Content-Length: -4", "Content-Length: 4x", "Content-Length: 0x4",
          "Content-Length: 4 4", "Content-Length: 5", "Content-Length: 99999999999999999999",
          "Transfer-Encoding: chunked"}) {
        cr_assert(isRejected(answerWithField(length)), "%s", length.c_str());
    }
    cr_assert(isRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + Fields));
    for (const std::string chunk : {"+4", "-4", "0x4", "x", "FFFFFFFFFFFFFFFFF"}) {
        cr_assert(isRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
                             + "\r\nbody\r\n0\r\n\r\n"),
                  "chunk of %s", chunk.c_str());
    }
}

// Guards against a response with an empty or short body in place of one whose server has stopped in
// the middle of the head and closed.
Test(broken_response, heads_that_end_in_their_middle)
{
    const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const std::string status = "HTTP/1.1 200 OK\r\n";
    for (const std::string &head :
         {status + "Content-Length: 4\r\nName: x\r\n\r\n",
          status + "Name: x\r\nContent-Length: 4\r\n\r\n", status + "Name: x\r\n\r\n",
          status + "Connection: close\r\nContent-Length: 0\r\n\r\n",
          status + "Transfer-Encoding: chunked\r\n\r\n",
          early + status + "Content-Length: 4\r\n\r\n", early + status + "\r\n"}) {
        for (size_t length = 0; length < head.size(); ++length) {
            for (const bool allowUnframed : {false, true}) {
                for (const bool reset : {false, true}) {
                    BackendScript script{head.substr(0, length)};
                    script.close = true;
                    script.reset = reset;
                    Fixture fixture(script, allowUnframed);
                    const Result<HttpResponse> result = fixture.get();
                    cr_assert(!result && result.assume_error().code == FailureCode::Ambiguous, "%s",
                              script.answer.c_str());
                    cr_assert_eq(fixture.client.idleConnections(), 0U);
                }
            }
        }
    }
}
