/** @file metric_registry.h All metrics of a process by name, in the Prometheus text format 0.0.4.
 */

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

/** The type that the text format states. */
enum class MetricKind { Counter, Gauge, Summary, Histogram };

/** What a family is called and what it tells. */
struct MetricHead {
    std::string name; ///< With unit, and _total on a counter.
    std::string help;
    MetricKind kind = MetricKind::Gauge;
};

/** Owns the metrics. Filled before the duties run; then only read, by render(). */
class MetricRegistry
{
public:
    Counter &addCounter(const std::string &name, const std::string &help, MetricLabels labels = {});
    Gauge &addGauge(const std::string &name, const std::string &help, MetricLabels labels = {});

    /** A counter for each value of the label @p label. */
    LabelledCounter &addLabelledCounter(const std::string &name, const std::string &help,
                                        const std::string &label);

    /** Counts by upper bound, which add up over nodes. */
    Histogram &addHistogram(const std::string &name, const std::string &help);

    /** A summary, with NAME_max and NAME_per_second as gauges beside it. */
    Distribution &addDistribution(const std::string &name, const std::string &help);

    /** A value that is worked out when it is read. @pre @p read may be called by any thread. */
    void addComputed(MetricHead head, MetricLabels labels, std::function<double(TimePoint)> read);

    /** @return The page for GET /metrics. */
    std::string render(TimePoint now) const;

private:
    struct Sample {
        std::string suffix; ///< After the family's name.
        MetricLabels labels;
        double value = 0;
    };
    using Reader = std::function<void(TimePoint now, std::vector<Sample> &samples)>;
    struct Family {
        MetricHead head;
        std::vector<Reader> readers;
    };

    void add(MetricHead head, Reader reader);
    static std::string formatSample(const std::string &name, const Sample &sample);

    std::deque<Counter> counters_; ///< Deques, since the references given out must stay valid.
    std::deque<Gauge> gauges_;
    std::deque<LabelledCounter> labelled_;
    std::deque<Histogram> histograms_;
    std::deque<Distribution> distributions_;
    std::vector<Family> families_; ///< Invariant: one for each name.
};

/** @return @p text with backslash and newline escaped, as in a HELP line. */
std::string escapeHelp(const std::string &text);

/** @return @p text with backslash, double quote and newline escaped, as in a label's value. */
std::string escapeLabel(const std::string &text);

} // namespace wisteriahoist
