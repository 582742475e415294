/** @file raw_http_client.h A caller on a plain socket, outside the event loop that is tested. */

#pragma once

#include "adapter/http/http_type.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <string>
#include <string_view>
#include <sys/ioctl.h>
#include <thread>

namespace wisteriahoist::testing {

/** A caller on a plain socket; it knows when its bytes have reached the server's machine. */
class RawHttpClient
{
public:
    explicit RawHttpClient(uint16_t port) : socket_(context_)
    {
        socket_.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        socket_.non_blocking(true);
    }

    /** Returns when the other side's operating system has all bytes, or the connection is cut. */
    void send(const std::string &bytes)
    {
        beast::error_code error;
        asio::write(socket_, asio::buffer(bytes), error);
        for (int unread = 0;
             !error && ioctl(socket_.native_handle(), SIOCOUTQ, &unread) == 0 && unread > 0;) {
            std::this_thread::yield();
        }
    }

    /** Takes what has come. */
    void pollOnce()
    {
        std::array<char, 4096> chunk{};
        beast::error_code error;
        while (!error) {
            const size_t count = socket_.read_some(asio::buffer(chunk), error);
            received_.append(chunk.data(), count);
        }
        ended_ |= error != asio::error::would_block;
    }

    void leave() { socket_.close(); }

    /** @return How often @p text has been received. */
    size_t count(std::string_view text) const
    {
        size_t found = 0;
        for (size_t at = received_.find(text); at != std::string::npos;
             at = received_.find(text, at + 1)) {
            ++found;
        }
        return found;
    }
    bool hasEnded() const { return ended_; }

private:
    asio::io_context context_;
    tcp::socket socket_;
    std::string received_;
    bool ended_ = false;
};

} // namespace wisteriahoist::testing
