/** @file metered_platform_store.h Platform store decorator that counts calls and logs availability
 * changes.
 */

#pragma once

#include "adapter/metrics/metric_registry.h"
#include "port/platform_store.h"

namespace wisteriahoist {

/** Metrics of this node's platform calls. */
struct PlatformMetrics {
    explicit PlatformMetrics(MetricRegistry &registry);

    LabelledCounter &calls;    ///< By operation; a watch counts as one call.
    LabelledCounter &failures; ///< By failure type.
    Counter &bytesWritten;     ///< Object content only.
    Counter &bytesRead;
    Gauge &available; ///< 1 if the platform answered the latest call.
};

/** Forwards each call to another store and counts it. Runs on the control thread. */
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
    void recordResult(const Result<T> &result);
    void recordObject(const Result<VersionedObject> &result);

    PlatformStore &inner_;
    PlatformMetrics &metrics_;
    bool available_ = true; ///< Whether the platform answered the latest call, also with a failure.
};

} // namespace wisteriahoist
