/** @file http2_session.cpp HTTP/2 connection between two nodes, over nghttp2 and Asio. */

#include "adapter/http2/http2_session.h"

#include "adapter/http2/keepalive_monitor.h"
#include "adapter/http2/transport_bytes.h"
#include "adapter/task/background_task.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

namespace wisteriahoist {

namespace {

constexpr uint32_t MaxConcurrentStreams = 2048;
constexpr uint32_t StreamWindowBytes = 1024 * 1024;
constexpr int32_t ConnectionWindowBytes = 16 * 1024 * 1024;
/** Messages between nodes have 0.5 to 2 KB. With 91 nodes each node has 180 sessions; 32 KB per
 *  session would be 6 MB of the 13 MB that a node uses. */
constexpr size_t ReadChunkBytes = 8 * 1024;
/** A call that is larger than this is reset if nothing of it arrives for StallTimeout, so that the
 *  memory that is reserved for it is freed. */
constexpr size_t LargeCallBytes = MemoryBudget::SmallBytes;
constexpr std::chrono::seconds StallTimeout{10};
/** What has been serialized is sent in this order, also if its call is cancelled; the rest of a
 *  large message shares the connection with others. */
constexpr size_t MaxSerializedBytes = 64 * 1024;
/** Of all replies; failures are part of the body. */
constexpr std::string_view ReplyStatus = "200";

nghttp2_nv makeHeader(std::string_view name, std::string_view value)
{
    // nghttp2 copies name and value without the NO_COPY flags; its signature lacks const.
    return {reinterpret_cast<uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/** Callbacks of nghttp2; each forwards to the session. */
struct Http2Session::Callbacks {
    static Http2Session &self(void *userData) { return *static_cast<Http2Session *>(userData); }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const uint8_t *name,
                        size_t nameLength, const uint8_t *value, size_t valueLength, uint8_t,
                        void *userData)
    {
        const std::string_view headerName(reinterpret_cast<const char *>(name), nameLength);
        const std::string_view text(reinterpret_cast<const char *>(value), valueLength);
        if (headerName == ":path") {
            self(userData).openStream(frame->hd.stream_id).path = text;
        } else if (headerName == ":status" && text != ReplyStatus) {
            return NGHTTP2_ERR_CALLBACK_FAILURE; // No node of ours: ends the connection.
        } else if (headerName == "content-length" && self(userData).role_ == Role::Server) {
            size_t bytes = 0;
            (void)std::from_chars(text.data(), text.data() + text.size(), bytes);
            (void)self(userData).reserve(frame->hd.stream_id, bytes);
        }
        return 0;
    }

    static int onDataChunk(nghttp2_session *, uint8_t, int32_t streamId, const uint8_t *data,
                           size_t length, void *userData)
    {
        auto &streams = self(userData).streams_;
        const auto found = streams.find(streamId);
        if (found == streams.end() || found->second.isReset) {
            return 0;
        }
        std::string &received = found->second.received;
        if (self(userData).reserve(streamId, received.size() + length)) {
            received.append(reinterpret_cast<const char *>(data), length);
        }
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        ++self(userData).framesReceived_;
        const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            self(userData).onStreamEnd(frame->hd.stream_id);
        }
        return 0;
    }

    static int onClose(nghttp2_session *, int32_t streamId, uint32_t errorCode, void *userData)
    {
        self(userData).onStreamClose(streamId, errorCode);
        return 0;
    }

    static ssize_t readBody(nghttp2_session *, int32_t streamId, uint8_t *buffer, size_t length,
                            uint32_t *flags, nghttp2_data_source *, void *userData)
    {
        auto &streams = self(userData).streams_;
        const auto found = streams.find(streamId);
        if (found == streams.end() || found->second.isReset) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        Stream &stream = found->second;
        const size_t headSize = stream.toSend.head.size();
        const bool inHead = stream.sent < headSize;
        const std::string_view part = inHead               ? std::string_view(stream.toSend.head)
                                      : stream.toSend.tail ? std::string_view(*stream.toSend.tail)
                                                           : std::string_view();
        const size_t offset = inHead ? stream.sent : stream.sent - headSize;
        const size_t count = std::min(length, part.size() - offset);
        std::copy_n(part.begin() + static_cast<ptrdiff_t>(offset), count, buffer);
        stream.sent += count;
        if (stream.sent == stream.toSend.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }
};

Http2Session::Http2Session(tcp::socket socket, Role role, PeerHandler handler,
                           const std::shared_ptr<KeepaliveMonitor> &monitor, PeerMemory memory)
    : socket_(std::move(socket)), role_(role), handler_(std::move(handler)), monitor_(monitor),
      memory_(std::move(memory))
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::onDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::onClose);
    if (role_ == Role::Client) {
        nghttp2_session_client_new(&session_, callbacks, this);
    } else {
        nghttp2_session_server_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 2> settings{{
            {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes);
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(session_);
}

void Http2Session::start()
{
    beast::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    asio::co_spawn(
            socket_.get_executor(), [self = shared_from_this()]() { return self->readLoop(); },
            logFailureOf("connection of nodes", [self = shared_from_this()]() { self->close(); }));
    flush();
}

void Http2Session::close()
{
    if (!open_) {
        return;
    }
    open_ = false;
    beast::error_code ignored;
    socket_.close(ignored);
    std::map<int32_t, Stream> streams = std::move(streams_);
    streams_.clear();
    for (auto &[streamId, stream] : streams) {
        if (stream.completion) {
            stream.completion(
                    Failure{FailureCode::Ambiguous, "HTTP/2 connection closed before the reply"});
        }
    }
}

int32_t Http2Session::call(const std::string &path, PeerBody body, Completion completion)
{
    if (!open_) {
        completion(Failure{FailureCode::Unavailable, "HTTP/2 connection is closed"});
        return -1;
    }
    // The peer takes memory for the whole call before it receives the body, or refuses it.
    const std::string length = std::to_string(body.size());
    const std::array<nghttp2_nv, 5> headers{
            makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
            makeHeader(":authority", "node"), makeHeader(":path", path),
            makeHeader("content-length", length)};
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::readBody;
    const int32_t streamId = nghttp2_submit_request(session_, nullptr, headers.data(),
                                                    headers.size(), &provider, nullptr);
    if (streamId < 0) {
        completion(Failure{FailureCode::Unavailable, nghttp2_strerror(streamId)});
        return -1;
    }
    Stream &stream = streams_[streamId];
    stream.toSend = std::move(body);
    stream.completion = std::move(completion);
    registerForMonitoring();
    flush();
    return streamId;
}

size_t Http2Session::receivedBytes(int32_t streamId) const
{
    const auto found = streams_.find(streamId);
    return found == streams_.end() ? 0 : found->second.received.size();
}

void Http2Session::cancel(int32_t streamId)
{
    const auto found = streams_.find(streamId);
    if (found == streams_.end() || !open_) {
        return;
    }
    found->second.completion = nullptr;
    found->second.isReset = true;
    found->second.toSend = {};
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
    flush();
}

void Http2Session::ping()
{
    if (open_) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
}

void Http2Session::reply(int32_t streamId, std::string body)
{
    const auto found = streams_.find(streamId);
    if (found == streams_.end() || !open_) {
        return;
    }
    found->second.delivery
            = std::make_unique<ResponseBudget::Delivery>(memory_.replies, body.size());
    found->second.toSend = std::move(body);
    const std::array<nghttp2_nv, 1> headers{makeHeader(":status", ReplyStatus)};
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::readBody;
    nghttp2_submit_response(session_, streamId, headers.data(), headers.size(), &provider);
    flush();
}

void Http2Session::fail(int32_t streamId)
{
    const auto found = streams_.find(streamId);
    if (found == streams_.end() || !open_) {
        return;
    }
    found->second.isReset = true;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_INTERNAL_ERROR);
    flush();
}

Http2Session::Stream &Http2Session::openStream(int32_t streamId)
{
    const auto [stream, isNew] = streams_.try_emplace(streamId);
    if (isNew) {
        stream->second.memory = MemoryBudget::Reservation(memory_.requests);
    }
    return stream->second;
}

bool Http2Session::reserve(int32_t streamId, size_t bytes)
{
    Stream &stream = openStream(streamId);
    if (role_ == Role::Client) {
        if (!memory_.replies) {
            return true;
        }
        if (!stream.share) {
            stream.share = std::make_unique<ResponseBudget::Share>(
                    *memory_.replies, [self = weak_from_this(), streamId]() {
                        if (const auto session = self.lock()) {
                            session->cutOffReply(streamId);
                        }
                    });
        }
        return stream.share->resize(bytes);
    }
    const size_t before = stream.memory.bytes();
    if (bytes <= before) {
        return true;
    }
    if (!stream.memory.resize(bytes)) {
        stream.isReset = true;
        std::string().swap(stream.received);
        (void)stream.memory.resize(0);
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_REFUSED_STREAM);
        return false;
    }
    if (before <= LargeCallBytes && bytes > LargeCallBytes) {
        asio::co_spawn(
                socket_.get_executor(),
                [self = shared_from_this(), streamId]() { return self->resetIfStalled(streamId); },
                logFailureOf("call of a node"));
    }
    return true;
}

void Http2Session::cutOffReply(int32_t streamId)
{
    const auto found = streams_.find(streamId);
    if (found == streams_.end()) {
        return;
    }
    found->second.isReset = true;
    std::string().swap(found->second.received);
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
    // Possibly called while another session receives, or this one: its next turn sends the reset.
    asio::post(socket_.get_executor(), [self = shared_from_this()]() { self->flush(); });
}

asio::awaitable<void> Http2Session::resetIfStalled(int32_t streamId)
{
    asio::steady_timer timer(socket_.get_executor());
    size_t before = 0;
    while (open_) {
        timer.expires_after(StallTimeout);
        beast::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto found = streams_.find(streamId);
        if (found == streams_.end() || found->second.ended || found->second.isReset) {
            co_return;
        }
        const size_t received = found->second.received.size();
        if (std::exchange(before, received) == received) {
            found->second.isReset = true;
            std::string().swap(found->second.received);
            (void)found->second.memory.resize(0);
            nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, streamId,
                                      NGHTTP2_REFUSED_STREAM);
            flush();
            co_return;
        }
    }
}

void Http2Session::onStreamEnd(int32_t streamId)
{
    const auto found = streams_.find(streamId);
    if (found == streams_.end() || found->second.isReset) {
        return;
    }
    found->second.ended = true;
    if (role_ == Role::Client) {
        return;
    }
    asio::co_spawn(
            socket_.get_executor(),
            [self = shared_from_this(), streamId, path = std::move(found->second.path),
             body = std::move(found->second.received),
             memory = std::move(found->second.memory)]() mutable -> asio::awaitable<void> {
                std::string replyBody = co_await self->handler_(std::move(path), std::move(body));
                self->reply(streamId, std::move(replyBody));
            },
            logFailureOf("call of a node",
                         [self = shared_from_this(), streamId]() { self->fail(streamId); }));
}

void Http2Session::onStreamClose(int32_t streamId, uint32_t errorCode)
{
    const auto found = streams_.find(streamId);
    if (found == streams_.end()) {
        return;
    }
    Stream stream = std::move(found->second);
    streams_.erase(found);
    if (!stream.completion) {
        return;
    }
    if (errorCode == NGHTTP2_NO_ERROR && stream.ended) {
        stream.completion(std::move(stream.received));
    } else if (errorCode == NGHTTP2_REFUSED_STREAM) {
        stream.completion(
                Failure{FailureCode::Overloaded, "peer refused the stream without processing it"});
    } else {
        stream.completion(Failure{FailureCode::Ambiguous, nghttp2_http2_strerror(errorCode)});
    }
}

void Http2Session::flush()
{
    if (!open_) {
        return;
    }
    serialize();
    while (!writing_ && !outgoing_.empty()) {
        writeAvailable();
        if (!outgoing_.empty()) {
            writing_ = true;
            asio::co_spawn(
                    socket_.get_executor(),
                    [self = shared_from_this()]() { return self->writeLoop(); },
                    logFailureOf("connection of nodes",
                                 [self = shared_from_this()]() { self->close(); }));
        } else {
            serialize();
        }
    }
}

void Http2Session::serialize()
{
    while (outgoing_.size() < MaxSerializedBytes) {
        const uint8_t *data = nullptr;
        const ssize_t count = nghttp2_session_mem_send(session_, &data);
        if (count <= 0) {
            return;
        }
        outgoing_.append(reinterpret_cast<const char *>(data), static_cast<size_t>(count));
    }
}

/** Writes what the socket accepts without blocking, which is nearly always everything. */
void Http2Session::writeAvailable()
{
    beast::error_code error;
    const size_t count = socket_.write_some(asio::buffer(outgoing_), error);
    peerBytesSent().fetch_add(count, std::memory_order_relaxed);
    outgoing_.erase(0, count);
}

asio::awaitable<void> Http2Session::writeLoop()
{
    while (open_ && !outgoing_.empty()) {
        const std::string chunk = std::move(outgoing_);
        outgoing_.clear();
        peerBytesSent().fetch_add(chunk.size(), std::memory_order_relaxed);
        beast::error_code error;
        co_await asio::async_write(socket_, asio::buffer(chunk),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close();
        } else if (open_) {
            serialize();
        }
    }
    writing_ = false;
}

void Http2Session::registerForMonitoring()
{
    if (monitored_) {
        return;
    }
    if (const std::shared_ptr<KeepaliveMonitor> monitor = monitor_.lock()) {
        monitored_ = true;
        monitor->add(shared_from_this());
    }
}

bool Http2Session::checkKeepalive(const KeepaliveLimits &limits)
{
    monitored_ = open_ && !streams_.empty();
    if (!monitored_) {
        return false;
    }
    idleIntervals_ = framesReceived_ == framesAtLastCheck_ ? idleIntervals_ + 1 : 0;
    framesAtLastCheck_ = framesReceived_;
    if (idleIntervals_ == limits.pingAfter) {
        ping();
    }
    if (idleIntervals_ >= limits.pingAfter + limits.closeAfter) {
        monitored_ = false;
        close();
    }
    return monitored_;
}

asio::awaitable<void> Http2Session::readLoop()
{
    auto self = shared_from_this();
    std::array<uint8_t, ReadChunkBytes> chunk{};
    while (open_) {
        beast::error_code error;
        const size_t count = co_await socket_.async_read_some(
                asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        peerBytesReceived().fetch_add(count, std::memory_order_relaxed);
        if (nghttp2_session_mem_recv(session_, chunk.data(), count) < 0) {
            break;
        }
        flush();
    }
    close();
}

} // namespace wisteriahoist
