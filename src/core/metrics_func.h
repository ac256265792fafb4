/** @file metrics_func.h Counters, gauges and latencies as text for metric scrapers. */
#pragma once

#include "core/counter_type.h"
#include "core/latency_histogram.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavender {

/** What one process shows. */
struct MetricsView {
    const Counters* counters = nullptr;
    std::vector<std::pair<std::string_view, uint64_t>> gauges;
    std::vector<std::pair<std::string_view, const LatencyHistogram*>> histograms; ///< Names without a unit; written in seconds.
};

/** The text format of Prometheus, version 0.0.4. */
std::string formatMetrics(const MetricsView& view);

} // namespace lavender
