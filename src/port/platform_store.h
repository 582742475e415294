/** @file platform_store.h Interface: the platform's object API. */

#pragma once

#include "core/failure_type.h"
#include "core/id_type.h"
#include "core/time_type.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace wisteriahoist {

/** Content and version of an object in the platform. */
struct VersionedObject {
    ObjectVersion version; ///< AbsentObject if there is no such object.
    std::string content;   ///< At most MaxObjectBytes.
};

/** Maximum object size that the platform accepts. */
inline constexpr size_t MaxObjectBytes = 1024 * 1024;

/**
 * The platform's object API. If a write fails with Ambiguous or DeadlineExceeded it may have taken
 * effect; the caller must read the object back.
 */
class PlatformStore
{
public:
    template <typename T>
    using Pending = boost::asio::awaitable<Result<T>>;

    virtual ~PlatformStore() = default;

    /** Reads an object. @return Version AbsentObject if it does not exist. */
    virtual Pending<VersionedObject> read(std::string name) = 0;

    /**
     * Writes an object if its version is still @p expected (AbsentObject: if it does not exist).
     * @return The new version, or VersionConflict.
     */
    virtual Pending<ObjectVersion> write(std::string name, ObjectVersion expected,
                                         std::string content)
            = 0;

    /** Deletes an object if its version is still @p expected. */
    virtual Pending<ObjectVersion> remove(std::string name, ObjectVersion expected) = 0;

    /** @return The names of the objects that begin with @p prefix. */
    virtual Pending<std::vector<std::string>> list(std::string prefix) = 0;

    /**
     * Waits until the object's version is above @p known, at most @p wait. Counts as one call.
     * @return The object's state at the end of the wait.
     */
    virtual Pending<VersionedObject> watch(std::string name, ObjectVersion known, milliseconds wait)
            = 0;
};

} // namespace wisteriahoist
