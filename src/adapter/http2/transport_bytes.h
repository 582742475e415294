/** @file transport_bytes.h How many bytes this process has exchanged with other nodes. */

#pragma once

#include <atomic>
#include <cstdint>

namespace wisteriahoist {

/** Bytes of HTTP/2 frames sent on all connections to other nodes; TCP and IP not included. */
inline std::atomic<uint64_t> &peerBytesSent()
{
    static std::atomic<uint64_t> count{0};
    return count;
}

/** The same for bytes received. */
inline std::atomic<uint64_t> &peerBytesReceived()
{
    static std::atomic<uint64_t> count{0};
    return count;
}

} // namespace wisteriahoist
