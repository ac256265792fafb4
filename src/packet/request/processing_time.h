/** @file processing_time.h Estimates how long an upstream works on one request, from the times of its answers. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace lavender {

/** Exponentially weighted moving average of the processing time of one request, without its time in the queue. */
class ProcessingTime {
public:
    /**
     * Adds one answered request.
     * @param elapsed From the request to the first byte of its answer.
     * @param busy Requests at the upstream when this one arrived, itself included.
     * @param slots Requests that the upstream runs at once.
     */
    void add(Duration elapsed, size_t busy, size_t slots)
    {
        // A request that finds all slots taken first waits (busy - slots) / slots processing times.
        const Duration sample = elapsed * static_cast<int64_t>(slots) / static_cast<int64_t>(std::max(busy, slots));
        this->average = this->sampleCount == 0 ? sample : this->average + (sample - this->average) / averagedSamples;
        this->sampleCount += 1;
        if (this->sampleCount >= minimumSamples) {
            this->lowestAverage = this->lowestAverage == Duration::zero() ? this->average : std::min(this->lowestAverage, this->average);
        }
    }

    /** Average processing time; none until minimumSamples requests were answered. */
    std::optional<Duration> mean() const { return this->sampleCount < minimumSamples ? std::nullopt : std::optional(this->average); }

    /** Lowest average so far, which an upstream that has slowed down does not raise; none until minimumSamples requests were answered. */
    std::optional<Duration> usual() const { return this->lowestAverage == Duration::zero() ? std::nullopt : std::optional(this->lowestAverage); }

    /** True if the average is above twice its lowest value. A cold upstream takes only some 1.6 times as long as a warm one. */
    bool hasSlowedDown() const { return this->sampleCount >= minimumSamples && this->average > this->lowestAverage * 2; }

    /** Starts over for a new upstream. The lowest average is kept, as the new one belongs to the same service. */
    void reset()
    {
        this->average = {};
        this->sampleCount = 0;
    }

private:
    static constexpr int64_t averagedSamples = 16; ///< The latest sample weighs 1/16; an upstream at its limit gives 16 answers in 0.2 s.
    static constexpr size_t minimumSamples = 8;

    Duration average {};
    Duration lowestAverage {}; ///< Lowest average of at least minimumSamples samples; zero before the first.
    size_t sampleCount = 0; ///< Since the start or the last reset.
};

} // namespace lavender
