/** @file metric_registry.h Registry of a process's metrics, in the Prometheus text format 0.0.4. */

#pragma once

#include "adapter/metrics/metric_type.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace wisteriahoist {

/** One label of a sample. */
struct MetricLabel {
    std::string name;
    std::string value;
};

using MetricLabels = std::vector<MetricLabel>;

/** Metric type in the text format. */
enum class MetricKind { Counter, Gauge, Summary, Histogram };

/** Name, help text and type of a metric family. */
struct MetricDescriptor {
    std::string name; ///< Includes the unit; ends with _total for a counter.
    std::string help;
    MetricKind kind = MetricKind::Gauge;
};

/** Owns the metrics. Metrics are added before the duty threads start; later only render() is used.
 */
class MetricRegistry
{
public:
    Counter &addCounter(const std::string &name, const std::string &help, MetricLabels labels = {});
    Gauge &addGauge(const std::string &name, const std::string &help, MetricLabels labels = {});

    /** Adds a counter per value of the label @p label. */
    LabelledCounter &addLabelledCounter(const std::string &name, const std::string &help,
                                        const std::string &label);

    /** Adds a histogram; its buckets can be summed over nodes. */
    Histogram &addHistogram(const std::string &name, const std::string &help);

    /** Adds a summary with the additional gauges NAME_max and NAME_per_second. */
    Distribution &addDistribution(const std::string &name, const std::string &help);

    /** Adds a metric whose value is computed when the page is rendered. @pre @p read may be called
     *  by any thread. */
    void addComputed(MetricDescriptor descriptor, MetricLabels labels,
                     std::function<double(TimePoint)> read);

    /** @return The response body for GET /metrics. */
    std::string render(TimePoint now) const;

private:
    struct Sample {
        std::string suffix; ///< Appended to the family name.
        MetricLabels labels;
        double value = 0;
    };
    using Collector = std::function<void(TimePoint now, std::vector<Sample> &samples)>;
    struct Family {
        MetricDescriptor descriptor;
        std::vector<Collector> collectors;
    };

    void add(MetricDescriptor descriptor, Collector collector);
    static std::string formatSample(const std::string &name, const Sample &sample);

    std::deque<Counter> counters_; ///< Deques keep the returned references valid.
    std::deque<Gauge> gauges_;
    std::deque<LabelledCounter> labelled_;
    std::deque<Histogram> histograms_;
    std::deque<Distribution> distributions_;
    std::vector<Family> families_; ///< Invariant: one entry per name.
};

/** @return @p text with backslash and newline escaped, for a HELP line. */
std::string escapeHelp(const std::string &text);

/** @return @p text with backslash, double quote and newline escaped, for a label value. */
std::string escapeLabel(const std::string &text);

} // namespace wisteriahoist
