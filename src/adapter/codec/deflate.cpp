/** @file deflate.cpp Compression of messages between nodes, over zlib. */

#include "adapter/codec/deflate.h"

#include <new>
#include <zlib.h>

namespace wisteriahoist {

namespace {

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

} // namespace

std::string deflate(std::string_view content)
{
    uLongf length = compressBound(content.size());
    std::string stream(length, '\0');
    // Fast rather than small: a node may have a tenth of a core. The buffer is large enough, so
    // this fails only without memory, as other allocations do.
    if (compress2(reinterpret_cast<Bytef *>(stream.data()), &length, bytesOf(content),
                  content.size(), Z_BEST_SPEED)
        != Z_OK) {
        throw std::bad_alloc();
    }
    stream.resize(length);
    return stream;
}

Result<std::string> inflate(std::string_view stream, size_t size)
{
    std::string content(size, '\0');
    uLongf length = size;
    const int result = uncompress(reinterpret_cast<Bytef *>(content.data()), &length,
                                  bytesOf(stream), stream.size());
    if (result != Z_OK || length != size) {
        return Failure{FailureCode::Malformed, "not a zlib stream of the given size"};
    }
    return content;
}

} // namespace wisteriahoist
