/** @file raw_http_client.h HTTP test client on a plain socket, outside the tested event loop. */

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

/** HTTP test client on a plain socket that waits until its bytes have reached the server's host. */
class RawHttpClient
{
public:
    explicit RawHttpClient(uint16_t port) : socket_(context_)
    {
        socket_.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        socket_.non_blocking(true);
    }

    /** Sends @p bytes. Returns when the peer's operating system has acknowledged all of them, or
     * the connection is closed. */
    void send(const std::string &bytes)
    {
        beast::error_code error;
        for (size_t sent = 0; !error && sent < bytes.size();) {
            sent += socket_.write_some(asio::buffer(bytes) + sent, error);
            if (error == asio::error::would_block) {
                error = {};
                std::this_thread::yield();
            }
        }
        for (int unread = 0;
             !error && ioctl(socket_.native_handle(), SIOCOUTQ, &unread) == 0 && unread > 0;) {
            std::this_thread::yield();
        }
    }

    /** Reads all bytes that have arrived, without blocking. */
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

    void disconnect() { socket_.close(); }

    /** @return Number of occurrences of @p text in the received bytes. */
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
