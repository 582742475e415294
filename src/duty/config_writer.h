/** @file config_writer.h Carries an accepted change into the platform, and finds out whether it is
 * there. */

#pragma once

#include "decision/config/config_accept.h"
#include "port/platform_store.h"

#include <optional>

namespace wisteriahoist {

/** Bounds of the attempts to write one change. */
struct ConfigWriterTimes {
    uint32_t attempts = 4;        ///< Reads of the platform for one change.
    milliseconds retryPause{100}; ///< Before the second attempt; doubles with each.
};

/** What became of a change. */
struct ConfigOutcome {
    ConfigDecision decision;
    std::optional<Failure> failure; ///< The platform's; the decision then says nothing.
    uint64_t storedVersion = 0;     ///< The highest version seen in the platform.
};

/**
 * Writes changes to the configuration object.
 *
 * Failure met: a reply of the platform is lost after the write took effect, or the write is still
 * on its way when the caller gives up; answered "failed", the operator would apply again or believe
 * that the old rules hold. So an unclear write is repeated under the same condition (the version
 * read first): at most one of the copies can take effect, and the request id in the object tells
 * whether one did. If the object has moved on without the id, none can take effect any more and the
 * operator gets the conflict. Only when the platform stays away is the answer "may have been done".
 */
class ConfigWriter
{
public:
    ConfigWriter(PlatformStore &platform, ConfigWriterTimes times)
        : platform_(platform), times_(times)
    { }

    /** Reads the configuration object. */
    PlatformStore::Pending<ConfigRecord> read();

    /**
     * Puts one change in force.
     * @param floor The highest version that this node has had in force.
     */
    boost::asio::awaitable<ConfigOutcome> apply(ConfigRequest request, uint64_t floor);

    /** Decides about a change, and writes nothing. */
    boost::asio::awaitable<ConfigOutcome> dryRun(ConfigRequest request, uint64_t floor);

private:
    struct Stored {
        ObjectVersion objectVersion;
        ConfigRecord record;
    };
    /** One change on its way. */
    struct Change {
        ConfigRequest request;
        uint64_t floor = 0;
        bool mayBeWritten = false; ///< A write of it is unclear.
        ConfigOutcome outcome;
    };
    enum class Step { Finished, TryAgain };

    PlatformStore::Pending<Stored> readStored();
    boost::asio::awaitable<Step> attempt(Change &change);

    PlatformStore &platform_;
    ConfigWriterTimes times_;
};

} // namespace wisteriahoist
