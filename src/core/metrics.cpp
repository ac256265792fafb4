/** @file metrics.cpp Writes the Prometheus text exposition format, version 0.0.4. */
#include "core/metrics_func.h"

#include "core/text_func.h"

#include <utility>

namespace lavender {

namespace {

    void appendHistogram(std::string& text, std::string_view name, const LatencyHistogram& histogram)
    {
        appendText(text, "# TYPE lavender_", name, "_seconds histogram\n");
        uint64_t cumulative = 0;
        for (size_t bucket = 0; bucket <= LatencyHistogram::bounds.size(); ++bucket) {
            cumulative += histogram.count(bucket);
            const bool isLast = bucket == LatencyHistogram::bounds.size();
            const std::string bound = isLast ? "+Inf" : fmt::format("{:g}", std::chrono::duration<double>(LatencyHistogram::bounds[bucket]).count());
            appendText(text, "lavender_", name, "_seconds_bucket{le=\"", bound, "\"} ", cumulative, "\n");
        }
        appendText(text, "lavender_", name, "_seconds_sum ", std::chrono::duration<double>(histogram.sum()).count(), "\n");
        appendText(text, "lavender_", name, "_seconds_count ", cumulative, "\n");
    }

} // namespace

std::string formatMetrics(const MetricsView& view)
{
    std::string text;
    for (size_t index = 0; index < counterTable.size(); ++index) {
        const CounterDescription& counter = counterTable[index];
        appendText(text, "# HELP lavender_", counter.name, "_total ", counter.help, "\n# TYPE lavender_", counter.name, "_total counter\n");
        appendText(text, "lavender_", counter.name, "_total ", view.counters->get(static_cast<Counter>(index)), "\n");
    }
    for (const auto& [name, value] : view.gauges) {
        appendText(text, "# TYPE lavender_", name, " gauge\nlavender_", name, " ", value, "\n");
    }
    std::string_view labelledName;
    for (const LabelledCounter& counter : view.labelledCounters) {
        if (counter.name != std::exchange(labelledName, counter.name)) {
            appendText(text, "# TYPE lavender_", counter.name, "_total counter\n");
        }
        appendText(text, "lavender_", counter.name, "_total{", counter.labels, "} ", counter.value, "\n");
    }
    for (const auto& [name, histogram] : view.histograms) {
        appendHistogram(text, name, *histogram);
    }
    return text;
}

} // namespace lavender
