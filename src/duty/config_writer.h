/** @file config_writer.h Writes accepted configuration changes to the platform and verifies the
 * outcome. */

#pragma once

#include "decision/config/config_accept.h"
#include "port/platform_store.h"

#include <optional>

namespace wisteriahoist {

/** Limits of the attempts to write one change. */
struct ConfigWriterTimes {
    uint32_t attempts = 4;        ///< Maximum number of read-and-write attempts per change.
    milliseconds retryPause{100}; ///< Before the second attempt; doubles with each one.
};

/** Result of a change. */
struct ConfigOutcome {
    ConfigDecision decision;
    std::optional<Failure> failure; ///< Of the platform; the decision is then not valid.
    uint64_t storedVersion = 0;     ///< The highest version read from the platform.
};

/**
 * Writes changes to the configuration object.
 *
 * The reply of the platform may be lost after the write took effect, or the write may still be in
 * transit when the call times out. If the operator got "failed" then, they would apply the change
 * again or assume that the old rules are still in effect. Therefore a write with unknown outcome is
 * repeated under the same condition (the version read first): at most one of the copies can take
 * effect, and the request id in the object shows whether one did. If the object has a newer version
 * without the id, none can take effect any more and the operator gets the conflict. Only if the
 * platform stays unavailable is the outcome reported as unknown.
 */
class ConfigWriter
{
public:
    ConfigWriter(PlatformStore &platform, ConfigWriterTimes times)
        : platform_(platform), times_(times)
    { }

    /** Reads the current configuration object. */
    PlatformStore::Pending<ConfigRecord> read();

    /**
     * Applies one change.
     * @param floor The highest version that has been in effect at this node; the new one is higher.
     */
    boost::asio::awaitable<ConfigOutcome> apply(ConfigRequest request, uint64_t floor);

    /** Decides about a change without writing anything. */
    boost::asio::awaitable<ConfigOutcome> dryRun(ConfigRequest request, uint64_t floor);

private:
    struct Stored {
        ObjectVersion objectVersion;
        ConfigRecord record;
    };
    /** State of the attempts to write one change. */
    struct Change {
        ConfigRequest request;
        uint64_t floor = 0;
        bool mayBeWritten = false; ///< A write of it has an unknown outcome.
        ConfigOutcome outcome;
    };
    enum class Step { Finished, TryAgain };

    PlatformStore::Pending<Stored> readStored();
    boost::asio::awaitable<Step> attempt(Change &change);

    PlatformStore &platform_;
    ConfigWriterTimes times_;
};

} // namespace wisteriahoist
