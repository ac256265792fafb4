/** @file work_time.h How long an upstream works on one request, learned from its answers. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace lavender {

/** A moving mean over the last answers. */
class WorkTime {
public:
    /**
     * Takes one answer.
     * @param elapsed From the request to the first byte of its answer.
     * @param busy Requests at the upstream when this one came, itself included.
     * @param slots Requests that the upstream runs at once.
     */
    void add(Duration elapsed, size_t busy, size_t slots)
    {
        // Who comes behind all slots waits for (busy - slots) / slots turns first.
        const Duration sample = elapsed * static_cast<int64_t>(slots) / static_cast<int64_t>(std::max(busy, slots));
        this->value = this->samples == 0 ? sample : this->value + (sample - this->value) / weight;
        this->samples += 1;
        if (this->samples >= minimumSamples) {
            this->least = this->least == Duration::zero() ? this->value : std::min(this->least, this->value);
        }
    }

    /** None until enough answers were seen. */
    std::optional<Duration> mean() const { return this->samples < minimumSamples ? std::nullopt : std::optional(this->value); }

    /** True where the upstream is much slower than it has been. A cold one is not: it takes some 1.6 times as long. */
    bool isSlow() const { return this->samples >= minimumSamples && this->value > this->least * 2; }

    /** Another upstream of the same service stands there now. */
    void reset()
    {
        this->value = {};
        this->samples = 0;
    }

private:
    static constexpr int64_t weight = 16; ///< Answers that the mean goes back: a fifth of a second of an upstream at its limit.
    static constexpr size_t minimumSamples = 8;

    Duration value {};
    Duration least {}; ///< Lowest mean so far.
    size_t samples = 0;
};

} // namespace lavender
