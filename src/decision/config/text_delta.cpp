/** @file text_delta.cpp The difference between two versions of a configuration's text. */

#include "decision/config/text_delta.h"

#include <algorithm>
#include <unordered_map>

namespace wisteriahoist {

namespace {

/** @return Length of the piece at the beginning of @p text: up to the next opening brace. */
size_t pieceLength(std::string_view text)
{
    return std::min(text.find('{', 1), text.size());
}

} // namespace

std::vector<DeltaPart> makeDelta(std::string_view base, std::string_view target)
{
    std::unordered_map<std::string_view, size_t> offsets;
    for (size_t at = 0; at < base.size();) {
        const std::string_view piece = base.substr(at, pieceLength(base.substr(at)));
        offsets.try_emplace(piece, at);
        at += piece.size();
    }
    std::vector<DeltaPart> parts(1);
    for (size_t at = 0; at < target.size();) {
        const std::string_view piece = target.substr(at, pieceLength(target.substr(at)));
        at += piece.size();
        DeltaPart &last = parts.back();
        const size_t next = last.offset + last.length;
        const bool continues = last.length > 0 && last.text.empty() && next <= base.size()
                               && base.substr(next, piece.size()) == piece;
        const auto found = offsets.find(piece);
        if (continues) {
            last.length += piece.size();
        } else if (found != offsets.end()) {
            parts.push_back({found->second, piece.size(), {}});
        } else {
            last.text += piece;
        }
    }
    return parts;
}

std::optional<std::string> applyDelta(std::string_view base, const std::vector<DeltaPart> &parts,
                                      size_t maxBytes)
{
    std::string target;
    for (const DeltaPart &part : parts) {
        const bool inside = part.length <= base.size() && part.offset <= base.size() - part.length;
        if (!inside || part.length + part.text.size() > maxBytes - target.size()) {
            return std::nullopt;
        }
        target += base.substr(part.offset, part.length);
        target += part.text;
    }
    return target;
}

} // namespace wisteriahoist
