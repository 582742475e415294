/** @file backend_incarnation.h Identifies one incarnation of a backend server. */

#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace wisteriahoist {

/**
 * One incarnation of a backend server, from process start to exit. A backend server may restart
 * under the same id; it then holds no grants and no state of the previous incarnation. Only the
 * start time distinguishes the two.
 */
struct BackendIncarnation {
    std::string id;
    uint64_t born = 0; ///< Start time in Unix milliseconds; 0: not reported.

    BackendIncarnation() = default;
    BackendIncarnation(std::string backendId, uint64_t startMs = 0)
        : id(std::move(backendId)), born(startMs)
    { }
    BackendIncarnation(const char *backendId) : id(backendId) { }

    bool operator==(const BackendIncarnation &) const = default;

    bool empty() const { return id.empty(); }

    /** @return Whether both start times are known and this one is earlier than that of @p other. */
    bool isBefore(const BackendIncarnation &other) const
    {
        return born != 0 && other.born != 0 && born < other.born;
    }

    /** @return Readable form: the id, followed by "@" and the start time if it is known. */
    std::string text() const { return born == 0 ? id : id + "@" + std::to_string(born); }
};

} // namespace wisteriahoist
