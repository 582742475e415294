/** @file operator_client_test.cpp Replies to the operators' commands that are none. */

#include "program/operator_client.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

#include <thread>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds Timeout{5000};

/** A server on a thread of its own, since the client blocks. */
class AnsweringServer
{
public:
    explicit AnsweringServer(const std::string &answer)
        : server_(std::make_shared<ScriptedBackend>(context_, std::vector<BackendScript>{{answer}}))
    {
        server_->start();
        thread_ = std::thread([this]() { context_.run(); });
    }
    ~AnsweringServer()
    {
        context_.stop();
        thread_.join();
    }
    AnsweringServer(const AnsweringServer &) = delete;
    AnsweringServer &operator=(const AnsweringServer &) = delete;

    uint16_t port() const { return server_->port(); }

private:
    asio::io_context context_;
    std::shared_ptr<ScriptedBackend> server_;
    std::thread thread_;
};

Result<void> askStatus(const std::string &answer, v1::StatusReply &reply)
{
    const AnsweringServer server(answer);
    const OperatorClient client({"127.0.0.1", server.port()}, {}, Timeout);
    return client.call("Status", v1::StatusRequest(), reply);
}

} // namespace

// Guards against showing operators bytes that are no response.
Test(operator_client, bytes_that_are_no_response_are_not_shown)
{
    const std::string rest = "Content-Length: 4\r\n\r\nbody";
    for (const std::string head :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 20 OK\r\n",
          "HTTP/1.1 200 OK\r\nNa me: x\r\n"}) {
        v1::StatusReply reply;
        const Result<void> result = askStatus(head + rest, reply);
        cr_assert(!result && result.assume_error().code == FailureCode::Malformed);
        cr_assert(result.assume_error().context.find("body") == std::string::npos, "%s",
                  head.c_str());
    }
}

Test(operator_client, replies_are_read)
{
    v1::StatusReply reply;
    cr_assert(askStatus("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", reply).has_value());
}
