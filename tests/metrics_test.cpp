/** @file metrics_test.cpp Metrics in the text format that scrapers read. */
#include "core/metrics_func.h"

#include <CppUTest/TestHarness.h>

#include <initializer_list>
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
    const std::string text = formatMetrics({
        .counters = &counters,
        .gauges = { { "flows", 7 } },
        .histograms = { { "answer", &latencies } },
    });
    const std::initializer_list<const char*> expectedLines {
        "lavender_flows_opened_total 3\n",
        "# TYPE lavender_flows gauge\nlavender_flows 7\n",
        "lavender_answer_seconds_bucket{le=\"0.002\"} 0\n",
        "lavender_answer_seconds_bucket{le=\"0.005\"} 1\n",
        "lavender_answer_seconds_bucket{le=\"5\"} 1\n",
        "lavender_answer_seconds_bucket{le=\"+Inf\"} 2\n",
        "lavender_answer_seconds_count 2\n",
    };
    for (const char* line : expectedLines) {
        CHECK_TRUE_TEXT(text.find(line) != std::string::npos, line);
    }
}
