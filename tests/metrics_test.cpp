/** @file metrics_test.cpp The text that metric scrapers read. */
#include "core/metrics_func.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace lavender;

TEST_GROUP(Metrics) {};

TEST(Metrics, CountersGaugesAndHistogramsAsText)
{
    Counters counters;
    counters.add(Counter::FlowsOpened, 3);
    LatencyHistogram latencies;
    latencies.add(3ms);
    latencies.add(30s);
    const std::string text = formatMetrics({ .counters = &counters, .gauges = { { "flows", 7 } }, .histograms = { { "answer", &latencies } } });
    for (const char* line : { "lavender_flows_opened_total 3\n", "# TYPE lavender_flows gauge\nlavender_flows 7\n", "lavender_answer_seconds_bucket{le=\"0.002\"} 0\n", "lavender_answer_seconds_bucket{le=\"0.005\"} 1\n", "lavender_answer_seconds_bucket{le=\"5\"} 1\n", "lavender_answer_seconds_bucket{le=\"+Inf\"} 2\n", "lavender_answer_seconds_count 2\n" }) {
        CHECK_TRUE_TEXT(text.find(line) != std::string::npos, line);
    }
}
