/** @file hop_codec.h Messages between nodes that carry a request or a response, without copies of
 * large bodies. */

#pragma once

#include "wisteriahoist/v1/control.pb.h"

#include <string>

namespace wisteriahoist {

/**
 * @return The encoded message up to the bytes of its body: followed by them, it is the whole
 *         message. @p message is unchanged on return.
 */
std::string encodeHead(v1::HopRequest &message);

/** Encodes @p message and takes its body. */
std::string encodeReply(v1::HopReply message);

/** @return Whether @p bytes are a message, decoded to @p message. */
bool decodeMessage(std::string bytes, v1::HopRequest &message);
bool decodeMessage(std::string bytes, v1::HopReply &message);

} // namespace wisteriahoist
