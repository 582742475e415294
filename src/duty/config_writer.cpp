/** @file config_writer.cpp Writes accepted configuration changes to the platform and verifies the
 * outcome. */

#include "duty/config_writer.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/codec/config_codec.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

namespace {

const std::string ConfigObject = "config";

/** @return Whether a write with this failure may have taken effect or may do so later. */
bool isOutcomeUnknown(FailureCode code)
{
    return code == FailureCode::Ambiguous || code == FailureCode::DeadlineExceeded
           || code == FailureCode::Malformed;
}

} // namespace

PlatformStore::Pending<ConfigWriter::Stored> ConfigWriter::readStored()
{
    Result<VersionedObject> object = co_await platform_.read(ConfigObject);
    if (!object) {
        co_return std::move(object).as_failure();
    }
    Result<ConfigRecord> record = decodeConfigRecord(object.assume_value().content);
    if (!record) {
        // Not treated as absent: overwriting the object would restart at version 1.
        co_return std::move(record).as_failure();
    }
    Stored stored;
    stored.objectVersion = object.assume_value().version;
    stored.record = std::move(record.assume_value());
    co_return stored;
}

PlatformStore::Pending<ConfigRecord> ConfigWriter::read()
{
    Result<Stored> stored = co_await readStored();
    if (!stored) {
        co_return std::move(stored).as_failure();
    }
    co_return std::move(stored.assume_value().record);
}

asio::awaitable<ConfigOutcome> ConfigWriter::dryRun(ConfigRequest request, uint64_t floor)
{
    ConfigOutcome outcome;
    Result<Stored> stored = co_await readStored();
    if (!stored) {
        outcome.failure = stored.assume_error();
        co_return outcome;
    }
    outcome.storedVersion = stored.assume_value().record.declarations.version;
    outcome.decision = decideChange(stored.assume_value().record, request, floor);
    co_return outcome;
}

asio::awaitable<ConfigWriter::Step> ConfigWriter::attempt(Change &change)
{
    ConfigOutcome &outcome = change.outcome;
    Result<Stored> stored = co_await readStored();
    if (!stored) {
        // After a write with unknown outcome its failure is kept: this one is only of the read.
        if (!change.mayBeWritten) {
            outcome.failure = stored.assume_error();
        }
        co_return change.mayBeWritten ? Step::TryAgain : Step::Finished;
    }
    const ConfigRecord &record = stored.assume_value().record;
    outcome.storedVersion = std::max(outcome.storedVersion, record.declarations.version);
    outcome.decision = decideChange(record, change.request, change.floor);
    if (outcome.decision.verdict != ConfigVerdict::Write) {
        outcome.failure.reset();
        co_return Step::Finished;
    }
    // From now on, a change by another operator is a conflict even if no version was expected.
    change.request.expectedVersion = record.declarations.version;
    std::string content = encodeConfigRecord(outcome.decision.record);
    Result<ObjectVersion> written = co_await platform_.write(
            ConfigObject, stored.assume_value().objectVersion, std::move(content));
    if (written) {
        outcome.failure.reset();
        outcome.storedVersion = outcome.decision.version;
        co_return Step::Finished;
    }
    const Failure &failure = written.assume_error();
    if (isOutcomeUnknown(failure.code)) {
        change.mayBeWritten = true;
        outcome.failure = failure;
    } else if (!change.mayBeWritten) {
        outcome.failure = failure;
    }
    const bool worthReading = change.mayBeWritten || failure.code == FailureCode::VersionConflict;
    co_return worthReading ? Step::TryAgain : Step::Finished;
}

asio::awaitable<ConfigOutcome> ConfigWriter::apply(ConfigRequest request, uint64_t floor)
{
    Change change;
    change.request = std::move(request);
    change.floor = floor;
    milliseconds wait = times_.retryPause;
    for (uint32_t count = 0; count < times_.attempts; ++count) {
        if (count > 0) {
            co_await sleepFor(wait);
            wait *= 2;
        }
        const Step step = co_await attempt(change);
        if (step == Step::Finished) {
            break;
        }
    }
    co_return std::move(change.outcome);
}

} // namespace wisteriahoist
