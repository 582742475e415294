/** @file http2_session.h One HTTP/2 connection between two nodes, over nghttp2 and Asio. */

#pragma once

#include "adapter/http/http_type.h"
#include "core/failure_type.h"

#include <deque>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>

namespace wisteriahoist {

class SilenceWatch;
struct SilenceLimits;

/** Answers one call from the other node: its path and its body in, the reply's body out. */
using PeerHandler = std::function<asio::awaitable<std::string>(std::string path, std::string body)>;

/**
 * A connection with many concurrent streams; each stream carries one call (a POST with a body)
 * and its reply. The same class serves both ends. Stream ids are never reused within a
 * connection, so a late reply cannot reach another call. Runs on one io_context thread.
 */
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    enum class Role { Client, Server };
    using Completion = std::function<void(Result<std::string>)>;

    /** @param silence Ends the session when its calls get no answers; nullptr: nobody does. It is
     *         its owner's; a session whose watch has gone goes on without. */
    Http2Session(tcp::socket socket, Role role, PeerHandler handler,
                 const std::shared_ptr<SilenceWatch> &silence = nullptr);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /** Starts reading. @pre The object is owned by a shared_ptr. */
    void start();

    /** Closes the connection; calls without a reply end as Ambiguous. */
    void close();

    bool isOpen() const { return open_; }
    size_t outstandingCalls() const { return calls_.size(); }

    /**
     * Sends one call. @p completion gets the reply's body, or Unavailable if the call was never
     * processed by the other side, Ambiguous if it may have been.
     * @return The stream id, for cancel(); negative if the call was refused at once.
     */
    int32_t call(const std::string &path, std::string body, Completion completion);

    /** Resets a stream; its completion is dropped, a late reply with it. */
    void cancel(int32_t streamId);

    /** Sends a PING; the answer is a frame like any other. */
    void ping();

    /**
     * Counts an interval without a frame while calls are under way: asks the other side for a sign
     * of life, and closes the connection if none comes.
     * @return Whether calls are still under way.
     */
    bool checkSilence(const SilenceLimits &limits);

private:
    struct Stream {
        std::string path;
        std::string received;
        std::string toSend;
        size_t sent = 0;
        Completion completion; ///< Client side only.
        bool ended = false;    ///< The other side's END_STREAM has been seen.
    };
    struct Callbacks;
    friend struct Callbacks;

    asio::awaitable<void> readLoop();
    asio::awaitable<void> writeLoop();
    void watchSilence();
    void flush();
    void sendNow();
    void onStreamEnd(int32_t streamId);
    void onStreamClose(int32_t streamId, uint32_t errorCode);
    void reply(int32_t streamId, std::string body);

    tcp::socket socket_;
    Role role_;
    PeerHandler handler_;
    std::weak_ptr<SilenceWatch> silence_;
    nghttp2_session *session_ = nullptr;
    std::map<int32_t, Stream> calls_; ///< Open streams by id, of either side.
    std::string outgoing_;            ///< Bytes that the write loop sends next.
    bool writing_ = false;            ///< Invariant: at most one write loop runs.
    bool watched_ = false;            ///< Whether silence_ has this session among its own.
    bool open_ = true;
    uint64_t framesReceived_ = 0;
    uint64_t framesSeen_ = 0;     ///< framesReceived_ at the last look.
    uint32_t quietIntervals_ = 0; ///< In a row, with calls under way and without a frame.
};

} // namespace wisteriahoist
