/** @file backend_incarnation.h Which life of a backend server is meant. */

#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace wisteriahoist {

/**
 * One life of a backend server, from its start to its end. It may start again under the id that it
 * had, and then holds and knows nothing of before; only the time of its start tells the two apart.
 */
struct BackendIncarnation {
    std::string id;
    uint64_t born = 0; ///< Unix time of its start in milliseconds; 0: it does not tell.

    BackendIncarnation() = default;
    BackendIncarnation(std::string lifeId, uint64_t bornAt = 0)
        : id(std::move(lifeId)), born(bornAt)
    { }
    BackendIncarnation(const char *lifeId) : id(lifeId) { }

    bool operator==(const BackendIncarnation &) const = default;

    bool empty() const { return id.empty(); }

    /** @return Whether this life is known to have begun before @p other. */
    bool isBefore(const BackendIncarnation &other) const
    {
        return born != 0 && other.born != 0 && born < other.born;
    }

    /** @return The life for people: id, and the start if it is known. */
    std::string text() const { return born == 0 ? id : id + "@" + std::to_string(born); }
};

} // namespace wisteriahoist
