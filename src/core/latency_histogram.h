/** @file latency_histogram.h Histogram of latencies with fixed buckets. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lavender {

/** Counts latencies in buckets with fixed upper bounds. */
class LatencyHistogram {
public:
    /** Upper bound of each bucket, inclusive; one more bucket without a bound follows. */
    static constexpr std::array<Duration, 10> bounds { 1ms, 2ms, 5ms, 10ms, 25ms, 50ms, 100ms, 250ms, 1s, 5s };

    /** Adds one measured latency. */
    void add(Duration latency)
    {
        size_t bucket = 0;
        while (bucket < bounds.size() && latency > bounds[bucket]) {
            ++bucket;
        }
        ++this->counts[bucket];
        this->total += latency;
    }

    /** Number of latencies in one bucket alone, not cumulative. @param bucket 0..bounds.size(). */
    uint64_t count(size_t bucket) const { return this->counts[bucket]; }
    /** Sum of all latencies. */
    Duration sum() const { return this->total; }

private:
    std::array<uint64_t, bounds.size() + 1> counts {};
    Duration total {};
};

} // namespace lavender
