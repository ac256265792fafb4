/** @file latency_histogram.h Latencies counted in fixed ranges, as metric scrapers read them. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lavender {

/** Counts of latencies up to each bound. */
class LatencyHistogram {
public:
    static constexpr std::array<Duration, 10> bounds { 1ms, 2ms, 5ms, 10ms, 25ms, 50ms, 100ms, 250ms, 1s, 5s };

    void add(Duration latency)
    {
        size_t range = 0;
        while (range < bounds.size() && latency > bounds[range]) {
            ++range;
        }
        ++this->counts[range];
        this->total += latency;
    }

    /** Latencies in the range that ends at bounds[range]; the last one has no end. */
    uint64_t count(size_t range) const { return this->counts[range]; }
    Duration sum() const { return this->total; }

private:
    std::array<uint64_t, bounds.size() + 1> counts {};
    Duration total {};
};

} // namespace lavender
