/** @file http2_session.h HTTP/2 connection between two nodes, over nghttp2 and Asio. */

#pragma once

#include "adapter/http/http_type.h"
#include "adapter/http/response_budget.h"
#include "core/failure_type.h"

#include <deque>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>

namespace wisteriahoist {

class KeepaliveMonitor;
struct KeepaliveLimits;

/** Memory for what is received from peers; each may be nullptr: not limited. */
struct PeerMemory {
    std::shared_ptr<MemoryBudget> requests;
    std::shared_ptr<ResponseBudget> replies;
};

/** A call's body. */
struct PeerBody {
    PeerBody() = default;
    PeerBody(std::string start) : head(std::move(start)) { }
    PeerBody(const char *start) : head(start) { }
    PeerBody(std::string start, std::shared_ptr<const std::string> rest)
        : head(std::move(start)), tail(std::move(rest))
    { }

    size_t size() const { return head.size() + (tail ? tail->size() : 0); }

    std::string head;
    std::shared_ptr<const std::string> tail; ///< Sent after head without a copy; may be nullptr.
};

/** Handles one call from a peer: receives path and body, returns the reply body. */
using PeerHandler = std::function<asio::awaitable<std::string>(std::string path, std::string body)>;

/**
 * A connection with concurrent streams; each stream carries one call (a POST with a body) and its
 * reply. The class implements both the client and the server role. Stream ids are never reused
 * within a connection, so a late reply cannot be assigned to another call. Runs on one io_context
 * thread.
 */
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    enum class Role { Client, Server };
    using Completion = std::function<void(Result<std::string>)>;

    /** @param monitor Closes the session when its calls get no replies; nullptr: no monitoring. Not
     *         owned; the session continues unmonitored after it has been destroyed.
     *  @param memory Calls for which there is no room are refused, the largest replies cut off. */
    Http2Session(tcp::socket socket, Role role, PeerHandler handler,
                 const std::shared_ptr<KeepaliveMonitor> &monitor = nullptr,
                 PeerMemory memory = {});
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /** Starts reading. @pre The object is owned by a shared_ptr. */
    void start();

    /** Closes the connection; calls without a reply fail with Ambiguous. */
    void close();

    bool isOpen() const { return open_; }
    size_t outstandingCalls() const { return streams_.size(); }

    /**
     * Sends one call. @p completion receives the reply body, Unavailable if the peer has not
     * processed the call, Overloaded if it refused to, or Ambiguous if it may have.
     * @return The stream id, for cancel(); negative if the call failed immediately.
     */
    int32_t call(const std::string &path, PeerBody body, Completion completion);

    /** @return Bytes of the reply that have arrived on an open stream. */
    size_t receivedBytes(int32_t streamId) const;

    /** Resets a stream without calling its completion; a late reply is discarded. */
    void cancel(int32_t streamId);

    /** Sends a PING; its acknowledgement counts as a received frame. */
    void ping();

    /**
     * Counts the intervals without a received frame while calls are outstanding. Sends a PING after
     * the first limit and closes the connection after the second.
     * @return Whether the session is open and calls are still outstanding.
     */
    bool checkKeepalive(const KeepaliveLimits &limits);

private:
    struct Stream {
        std::string path;
        std::string received;
        PeerBody toSend;
        size_t sent = 0;
        Completion completion;                        ///< Client role only.
        bool ended = false;                           ///< END_STREAM of the peer has been received.
        bool isReset = false;                         ///< Nothing more is sent or received on it.
        MemoryBudget::Reservation memory;             ///< Server role: of received.
        std::unique_ptr<ResponseBudget::Share> share; ///< Client role: of received.
        std::unique_ptr<ResponseBudget::Delivery> delivery; ///< Server role: of toSend.
    };
    struct Callbacks;
    friend struct Callbacks;

    asio::awaitable<void> readLoop();
    asio::awaitable<void> writeLoop();
    void registerForMonitoring();
    void flush();
    /** Appends frames to outgoing_, up to a limit. */
    void serialize();
    void writeAvailable();
    Stream &openStream(int32_t streamId);
    /** Takes memory for @p bytes of a message that is being received. @return Whether there is
     *  room; otherwise the stream is reset. */
    bool reserve(int32_t streamId, size_t bytes);
    void cutOffReply(int32_t streamId);
    asio::awaitable<void> resetIfStalled(int32_t streamId);
    void onStreamEnd(int32_t streamId);
    void onStreamClose(int32_t streamId, uint32_t errorCode);
    void reply(int32_t streamId, std::string body);
    /** Resets a stream whose call can't be answered. */
    void fail(int32_t streamId);

    tcp::socket socket_;
    Role role_;
    PeerHandler handler_;
    std::weak_ptr<KeepaliveMonitor> monitor_;
    PeerMemory memory_;
    nghttp2_session *session_ = nullptr;
    std::map<int32_t, Stream> streams_; ///< Open streams by id, in both roles.
    std::string outgoing_;              ///< Serialized bytes that are not written yet.
    bool writing_ = false;              ///< Invariant: at most one write loop runs.
    bool monitored_ = false;            ///< Whether this session is registered with monitor_.
    bool open_ = true;
    uint64_t framesReceived_ = 0;
    uint64_t framesAtLastCheck_ = 0; ///< framesReceived_ at the last check.
    uint32_t idleIntervals_
            = 0; ///< Consecutive intervals without a frame while calls are outstanding.
};

} // namespace wisteriahoist
