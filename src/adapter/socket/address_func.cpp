/** @file address_func.cpp Questions about addresses of this machine. */

#include "adapter/socket/address_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;
using asio::ip::tcp;

bool isAddressInUse(const std::string &ip, uint16_t port)
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(ip, error), port);
    asio::io_context context;
    tcp::acceptor probe(context);
    probe.open(endpoint.protocol(), error);
    probe.set_option(tcp::acceptor::reuse_address(true), error);
    // Doesn't listen: that would accept connections, only to reset them.
    probe.bind(endpoint, error);
    return error == asio::error::address_in_use;
}

} // namespace wisteriahoist
