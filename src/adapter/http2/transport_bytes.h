/** @file transport_bytes.h Counters of the bytes exchanged with other nodes. */

#pragma once

#include <atomic>
#include <cstdint>

namespace wisteriahoist {

/** @return Bytes of HTTP/2 frames sent on all connections to other nodes, without TCP and IP. */
inline std::atomic<uint64_t> &peerBytesSent()
{
    static std::atomic<uint64_t> count{0};
    return count;
}

/** @return Bytes of HTTP/2 frames received from other nodes, without TCP and IP. */
inline std::atomic<uint64_t> &peerBytesReceived()
{
    static std::atomic<uint64_t> count{0};
    return count;
}

} // namespace wisteriahoist
