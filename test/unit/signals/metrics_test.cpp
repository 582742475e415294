/** @file metrics_test.cpp The metrics page, label limits and distributions. */

#include "adapter/metrics/metric_registry.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

TimePoint at(int64_t count)
{
    return fromMillisecondCount(count);
}

bool hasLine(const std::string &page, const std::string &line)
{
    return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

Test(signals, metricsPageIsPrometheusText)
{
    MetricRegistry registry;
    SECTION("special characters in label values and help texts are escaped")
    {
        registry.addCounter("wh_a_total", "first\nsecond \\ \"third\"",
                            {{"path", "a\"b\\c\nd"}, {"zone", "x"}})
                .add(3);
        const std::string page = registry.render(at(0));
        cr_assert(hasLine(page, "# HELP wh_a_total first\\nsecond \\\\ \"third\""));
        cr_assert(hasLine(page, "# TYPE wh_a_total counter"));
        cr_assert(hasLine(page, "wh_a_total{path=\"a\\\"b\\\\c\\nd\",zone=\"x\"} 3"));
    }
    SECTION("samples of one family follow one TYPE line")
    {
        registry.addGauge("wh_g", "depth", {{"ring", "a"}}).set(1.5);
        registry.addGauge("wh_g", "depth", {{"ring", "b"}}).set(-2);
        const std::string page = registry.render(at(0));
        cr_assert_eq(page.find("# TYPE wh_g gauge"), page.rfind("# TYPE wh_g gauge"));
        cr_assert(hasLine(page, "wh_g{ring=\"a\"} 1.5"));
        cr_assert(hasLine(page, "wh_g{ring=\"b\"} -2"));
    }
    SECTION("quantiles of a summary without values are NaN")
    {
        registry.addDistribution("wh_d_seconds", "time");
        const std::string page = registry.render(at(0));
        cr_assert(hasLine(page, "# TYPE wh_d_seconds summary"));
        cr_assert(hasLine(page, "wh_d_seconds{quantile=\"0.99\"} NaN"));
        cr_assert(hasLine(page, "wh_d_seconds_count 0"));
    }
}

Test(signals, labelValuesAreBounded)
{
    // Guards against unlimited growth of the metrics page by callers that send arbitrary reasons or
    // paths. Each new value occupies a slot; values beyond the limit are counted as "other".
    LabelledCounter counter;
    for (size_t index = 0; index < LabelledCounter::MaxValues + 5; ++index) {
        counter.add("value-" + std::to_string(index));
    }
    counter.add("value-0");
    size_t values = 0;
    uint64_t total = 0;
    counter.forEach([&](const std::string &label, uint64_t count) {
        ++values;
        total += count;
        cr_assert(label != "value-0" || count == 2);
        cr_assert(label != "other" || count == 5);
    });
    cr_assert_eq(values, LabelledCounter::MaxValues + 1);
    cr_assert_eq(total, LabelledCounter::MaxValues + 6);
}

Test(signals, distributionReportsItsLatestWindow)
{
    Distribution distribution(milliseconds(1000));
    SECTION("values from 1 to 1000, one per millisecond; the next value closes the window")
    {
        for (int64_t index = 0; index < 1000; ++index) {
            distribution.observe(static_cast<double>(index * 617 % 1000 + 1), at(index));
        }
        cr_assert_not(distribution.read(at(999)).recent);
        distribution.observe(1, at(1000));
        const DistributionSnapshot reading = distribution.read(at(1000));
        cr_assert(reading.recent);
        cr_assert_eq(reading.count, 1001);
        cr_assert_float_eq(reading.quantiles[0], 500, 25);
        cr_assert_float_eq(reading.quantiles[1], 900, 25);
        cr_assert_float_eq(reading.quantiles[2], 990, 25);
        cr_assert_float_eq(reading.max, 1000, 0.1);
        cr_assert_float_eq(reading.perSecond, 1000, 0.1);
    }
    SECTION("without further values, the old window is not reported as recent")
    {
        cr_assert_not(distribution.read(at(3001)).recent);
    }
}

Test(signals, fewValuesGiveTheMaximumAsUpperBound)
{
    Distribution distribution(milliseconds(1000));
    distribution.observe(5, at(0));
    distribution.observe(2, at(10));
    distribution.observe(1, at(1000));
    const DistributionSnapshot reading = distribution.read(at(1000));
    cr_assert_float_eq(reading.quantiles[0], 5, 1e-9);
    cr_assert_float_eq(reading.quantiles[2], 5, 1e-9);
}
