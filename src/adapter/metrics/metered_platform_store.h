/** @file metered_platform_store.h Counts the calls to the platform, and logs when it goes and comes
 * back.
 */

#pragma once

#include "adapter/metrics/metric_registry.h"
#include "port/platform_store.h"

namespace wisteriahoist {

/** Metrics of the platform's use by this node. */
struct PlatformMetrics {
    explicit PlatformMetrics(MetricRegistry &registry);

    LabelledCounter &calls;    ///< By kind of call; a watch counts as one.
    LabelledCounter &failures; ///< By type of failure.
    Counter &bytesWritten;     ///< Contents of objects.
    Counter &bytesRead;
    Gauge &available; ///< 1 if the latest call was answered.
};

/** Passes each call on to another store and counts it. Runs on the control duty's thread. */
class MeteredPlatformStore : public PlatformStore
{
public:
    MeteredPlatformStore(PlatformStore &inner, PlatformMetrics &metrics);

    Pending<VersionedObject> read(std::string name) override;
    Pending<ObjectVersion> write(std::string name, ObjectVersion expected,
                                 std::string content) override;
    Pending<ObjectVersion> remove(std::string name, ObjectVersion expected) override;
    Pending<std::vector<std::string>> list(std::string prefix) override;
    Pending<VersionedObject> watch(std::string name, ObjectVersion known,
                                   milliseconds wait) override;

private:
    template <typename T>
    void account(const Result<T> &result);
    void accountObject(const Result<VersionedObject> &result);

    PlatformStore &inner_;
    PlatformMetrics &metrics_;
    bool available_ = true; ///< The latest call was answered, if only by a refusal.
};

} // namespace wisteriahoist
