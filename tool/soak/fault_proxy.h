/** @file fault_proxy.h A loopback proxy that delays, resets, cuts one way or silences connections.
 */

#pragma once

#include "core/time_type.h"
#include "program/sidecar_settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace wisteriahoist::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

/** What the link does; bytes that are held come through when the cut ends. */
struct LinkFaults {
    bool cutForward = false;  ///< From the opener of the connection to the target.
    bool cutBackward = false; ///< From the target.
    milliseconds delay{0};    ///< For each piece of bytes, each way.
};

/** One address whose connections go on to another one. */
class FaultProxy
{
public:
    FaultProxy(asio::io_context &context, const std::string &ip, Endpoint target);
    ~FaultProxy();

    Endpoint address() const { return address_; }
    LinkFaults &faults() { return faults_; }

    /** Resets every open connection. */
    void resetOpen();

    /** Open connections fall silent for good, without a reset; new ones work. */
    void silenceOpen();

private:
    struct Session;

    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serve(std::shared_ptr<Session> session);
    asio::awaitable<void> pump(std::shared_ptr<Session> session, bool forward);

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    Endpoint address_;
    Endpoint target_;
    LinkFaults faults_;
    std::set<std::shared_ptr<Session>> sessions_;
};

} // namespace wisteriahoist::soak
