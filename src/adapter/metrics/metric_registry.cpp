/** @file metric_registry.cpp Registry of metrics, in the Prometheus text format. */

#include "adapter/metrics/metric_registry.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wisteriahoist {

namespace {

std::string_view kindName(MetricKind kind)
{
    switch (kind) {
    case MetricKind::Counter:
        return "counter";
    case MetricKind::Gauge:
        return "gauge";
    case MetricKind::Summary:
        return "summary";
    case MetricKind::Histogram:
        return "histogram";
    }
    return "untyped";
}

std::string formatValue(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    return {digits.data(), end.ptr};
}

std::string escape(const std::string &text, bool quotes)
{
    std::string escaped;
    escaped.reserve(text.size());
    for (const char character : text) {
        if (character == '\n') {
            escaped += "\\n";
        } else if (character == '\\' || (quotes && character == '"')) {
            escaped += '\\';
            escaped += character;
        } else {
            escaped += character;
        }
    }
    return escaped;
}

} // namespace

std::string escapeHelp(const std::string &text)
{
    return escape(text, false);
}

std::string escapeLabel(const std::string &text)
{
    return escape(text, true);
}

void MetricRegistry::add(MetricDescriptor descriptor, Collector collector)
{
    const auto found
            = std::find_if(families_.begin(), families_.end(), [&descriptor](const Family &family) {
                  return family.descriptor.name == descriptor.name;
              });
    Family &family = found != families_.end() ? *found : families_.emplace_back();
    family.descriptor = std::move(descriptor);
    family.collectors.push_back(std::move(collector));
}

Counter &MetricRegistry::addCounter(const std::string &name, const std::string &help,
                                    MetricLabels labels)
{
    Counter &counter = counters_.emplace_back();
    add({name, help, MetricKind::Counter},
        [&counter, labels = std::move(labels)](TimePoint, std::vector<Sample> &samples) {
            samples.push_back({"", labels, static_cast<double>(counter.value())});
        });
    return counter;
}

Gauge &MetricRegistry::addGauge(const std::string &name, const std::string &help,
                                MetricLabels labels)
{
    Gauge &gauge = gauges_.emplace_back();
    add({name, help, MetricKind::Gauge},
        [&gauge, labels = std::move(labels)](TimePoint, std::vector<Sample> &samples) {
            samples.push_back({"", labels, gauge.value()});
        });
    return gauge;
}

LabelledCounter &MetricRegistry::addLabelledCounter(const std::string &name,
                                                    const std::string &help,
                                                    const std::string &label)
{
    LabelledCounter &counter = labelled_.emplace_back();
    add({name, help, MetricKind::Counter},
        [&counter, label](TimePoint, std::vector<Sample> &samples) {
            counter.forEach([&](const std::string &value, uint64_t count) {
                samples.push_back({"", {{label, value}}, static_cast<double>(count)});
            });
        });
    return counter;
}

Histogram &MetricRegistry::addHistogram(const std::string &name, const std::string &help)
{
    Histogram &histogram = histograms_.emplace_back();
    add({name, help, MetricKind::Histogram}, [&histogram](TimePoint, std::vector<Sample> &samples) {
        for (size_t index = 0; index < Histogram::Bounds.size(); ++index) {
            samples.push_back({"_bucket",
                               {{"le", formatValue(Histogram::Bounds[index])}},
                               static_cast<double>(histogram.countUpTo(index))});
        }
        const auto all = static_cast<double>(histogram.countUpTo(Histogram::Bounds.size()));
        samples.push_back({"_bucket", {{"le", "+Inf"}}, all});
        samples.push_back({"_sum", {}, histogram.sum()});
        samples.push_back({"_count", {}, all});
    });
    return histogram;
}

Distribution &MetricRegistry::addDistribution(const std::string &name, const std::string &help)
{
    Distribution &distribution = distributions_.emplace_back();
    add({name, help, MetricKind::Summary}, [&distribution](TimePoint now,
                                                           std::vector<Sample> &samples) {
        const DistributionSnapshot snapshot = distribution.read(now);
        for (size_t index = 0; index < snapshot.quantiles.size(); ++index) {
            samples.push_back({"",
                               {{"quantile", formatValue(DistributionSnapshot::Quantiles[index])}},
                               snapshot.recent ? snapshot.quantiles[index] : std::nan("")});
        }
        samples.push_back({"_sum", {}, snapshot.sum});
        samples.push_back({"_count", {}, static_cast<double>(snapshot.count)});
    });
    add({name + "_max", help + " Maximum of the latest window.", MetricKind::Gauge},
        [&distribution](TimePoint now, std::vector<Sample> &samples) {
            const DistributionSnapshot snapshot = distribution.read(now);
            samples.push_back({"", {}, snapshot.recent ? snapshot.max : std::nan("")});
        });
    add({name + "_per_second", help + " Values per second in the latest window.",
         MetricKind::Gauge},
        [&distribution](TimePoint now, std::vector<Sample> &samples) {
            samples.push_back({"", {}, distribution.read(now).perSecond});
        });
    return distribution;
}

void MetricRegistry::addComputed(MetricDescriptor descriptor, MetricLabels labels,
                                 std::function<double(TimePoint)> read)
{
    add(std::move(descriptor), [read = std::move(read), labels = std::move(labels)](
                                       TimePoint now, std::vector<Sample> &samples) {
        samples.push_back({"", labels, read(now)});
    });
}

std::string MetricRegistry::formatSample(const std::string &name, const Sample &sample)
{
    std::string line = name + sample.suffix;
    char separator = '{';
    for (const MetricLabel &label : sample.labels) {
        line += separator;
        line += label.name + "=\"" + escapeLabel(label.value) + "\"";
        separator = ',';
    }
    if (separator == ',') {
        line += '}';
    }
    return line + " " + formatValue(sample.value) + "\n";
}

std::string MetricRegistry::render(TimePoint now) const
{
    std::string page;
    std::vector<Sample> samples;
    for (const Family &family : families_) {
        samples.clear();
        for (const Collector &collector : family.collectors) {
            collector(now, samples);
        }
        page += "# HELP " + family.descriptor.name + " " + escapeHelp(family.descriptor.help)
                + "\n";
        page += "# TYPE " + family.descriptor.name + " ";
        page += kindName(family.descriptor.kind);
        page += '\n';
        for (const Sample &sample : samples) {
            page += formatSample(family.descriptor.name, sample);
        }
    }
    return page;
}

} // namespace wisteriahoist
