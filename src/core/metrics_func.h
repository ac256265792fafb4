/** @file metrics_func.h Formats counters, gauges and latencies for metric scrapers. */
#pragma once

#include "core/counter_type.h"
#include "core/latency_histogram.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavender {

/** A counter that is written once for each set of labels. */
struct LabelledCounter {
    std::string_view name; ///< Without the "lavender_" prefix and "_total" suffix.
    std::string labels; ///< Text between the braces.
    uint64_t value = 0;
};

/** The metrics of one process. */
struct MetricsView {
    const Counters* counters = nullptr;
    std::vector<std::pair<std::string_view, uint64_t>> gauges; ///< Name without the "lavender_" prefix, and value.
    std::vector<LabelledCounter> labelledCounters; ///< Those of one name follow each other.
    /** Name without the "lavender_" prefix and "_seconds" suffix, and latencies; written in seconds. */
    std::vector<std::pair<std::string_view, const LatencyHistogram*>> histograms;
};

/** Formats the metrics in the Prometheus text exposition format, version 0.0.4. */
std::string formatMetrics(const MetricsView& view);

} // namespace lavender
