/** @file net.h Blocking HTTP/1.1 over loopback, and the record of a run. */

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using Ms = std::chrono::milliseconds;

/** Milliseconds of the machine's steady clock, which all processes of a run share. */
inline int64_t nowMs()
{
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return int64_t(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

inline void sleepMs(int64_t ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(Ms(ms));
    }
}

/** Appends lines to a file that several processes write; each line is one write. */
class Record
{
public:
    explicit Record(const std::string &path)
        : fd_(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    { }
    void line(const std::string &text)
    {
        const std::string whole = std::to_string(nowMs()) + " " + text + "\n";
        (void)!write(fd_, whole.data(), whole.size());
    }

private:
    int fd_;
};

struct Address {
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline Address parseAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    return {text.substr(0, colon), uint16_t(std::stoi(text.substr(colon + 1)))};
}

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    return to;
}

/** @return A listening socket; -1: the address is in use. */
inline int listenOn(const Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in to = toSockaddr(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/** @return A connected socket; -1: refused, or no answer within @p timeout. */
inline int connectTo(const Address &address, int64_t timeout)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = toSockaddr(address);
    int error = 0;
    if (connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        error = errno;
        if (error == EINPROGRESS) {
            pollfd wait{fd, POLLOUT, 0};
            socklen_t size = sizeof(error);
            if (poll(&wait, 1, int(timeout)) <= 0) {
                error = ETIMEDOUT;
            } else {
                getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            }
        }
    }
    if (error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    size_t done = 0;
    while (done < text.size()) {
        const ssize_t count = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += size_t(count);
    }
    return true;
}

inline std::string lower(std::string text)
{
    for (char &c : text) {
        c = char(tolower(c));
    }
    return text;
}

/** One HTTP/1.1 message. */
struct Message {
    std::string start;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool whole = false; ///< It did not end early.

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? std::string() : found->second;
    }
    std::string word(int index) const
    {
        size_t at = 0;
        for (; index > 0; --index) {
            at = start.find(' ', at);
            if (at == std::string::npos) {
                return {};
            }
            ++at;
        }
        return start.substr(at, start.find(' ', at) - at);
    }
    int status() const { return start.empty() ? 0 : atoi(word(1).c_str()); }
};

/** Reads messages from one connection. */
class Reader
{
public:
    explicit Reader(int fd) : fd_(fd) { }

    /** @param until End of the wait; 0: none. @return A message; nullopt: none that has begun. */
    std::optional<Message> read(int64_t until = 0)
    {
        Message message;
        size_t end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until)) {
                return std::nullopt;
            }
        }
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        size_t at = head.find("\r\n");
        message.start = head.substr(0, at);
        at += 2;
        while (at < head.size()) {
            const size_t line = head.find("\r\n", at);
            const std::string text = head.substr(at, line - at);
            const size_t colon = text.find(':');
            if (colon != std::string::npos) {
                size_t value = colon + 1;
                while (value < text.size() && text[value] == ' ') {
                    ++value;
                }
                message.fields[lower(text.substr(0, colon))] = text.substr(value);
            }
            at = line + 2;
        }
        if (lower(message.field("transfer-encoding")) == "chunked") {
            message.whole = readChunks(message.body, until);
            return message;
        }
        const size_t length = size_t(atoll(message.field("content-length").c_str()));
        while (buffer_.size() < length) {
            if (!more(until)) {
                message.body = buffer_;
                return message;
            }
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        message.whole = true;
        return message;
    }

    bool timedOut() const { return timedOut_; }

private:
    bool more(int64_t until)
    {
        if (until != 0) {
            pollfd wait{fd_, POLLIN, 0};
            const int64_t left = until - nowMs();
            if (left <= 0 || poll(&wait, 1, int(left)) <= 0) {
                timedOut_ = true;
                return false;
            }
        }
        char chunk[16384];
        const ssize_t count = recv(fd_, chunk, sizeof(chunk), 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(chunk, size_t(count));
        return true;
    }

    bool readChunks(std::string &body, int64_t until)
    {
        while (true) {
            size_t line = std::string::npos;
            while ((line = buffer_.find("\r\n")) == std::string::npos) {
                if (!more(until)) {
                    return false;
                }
            }
            const size_t size = strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line + 2 + size + 2) {
                if (!more(until)) {
                    return false;
                }
            }
            body += buffer_.substr(line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int fd_;
    std::string buffer_;
    bool timedOut_ = false;
};

/** Serves connections, a thread each; the handler owns the socket until it returns. */
inline void serve(int listener, std::function<void(int)> handler)
{
    std::thread([listener, handler = std::move(handler)]() {
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EBADF || errno == EINVAL) {
                    return;
                }
                sleepMs(1);
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([fd, handler]() {
                handler(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}

/** Sends one request on a connection of its own. @return The response; nullopt: none. */
inline std::optional<Message> call(const Address &address, const std::string &request,
                                   int64_t timeout)
{
    const int64_t end = nowMs() + timeout;
    const int fd = connectTo(address, timeout);
    if (fd < 0) {
        return std::nullopt;
    }
    std::optional<Message> response;
    if (sendAll(fd, request)) {
        Reader reader(fd);
        response = reader.read(end);
    }
    close(fd);
    return response;
}

inline std::string makeRequest(const std::string &method, const std::string &target,
                               const std::string &host, const std::string &fields,
                               const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields;
    if (!body.empty() || method == "POST" || method == "PUT") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

} // namespace world
