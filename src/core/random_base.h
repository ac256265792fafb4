/** @file random_base.h Source of random numbers for the decision library. */
#pragma once

#include "core/time_type.h"

#include <pcg_random.hpp>

#include <cstdint>

namespace lavender {

/** A random number generator. */
class Random {
public:
    virtual ~Random() = default;

    /** Returns a uniform random number in [0, @p bound); 0 if @p bound is 0. */
    virtual uint32_t below(uint32_t bound) = 0;

    /** Returns true with a probability of @p partsPerMillion / 1,000,000. */
    bool chance(uint32_t partsPerMillion) { return this->below(1'000'000) < partsPerMillion; }

    /** Returns a uniform random duration in [0, @p limit), as needed for backoff with full jitter. */
    Duration jitter(Duration limit) { return limit * this->below(1U << 20U) / (1 << 20); }
};

/** PCG generator; the same seed gives the same numbers. */
class SeededRandom final : public Random {
public:
    explicit SeededRandom(uint64_t seed)
        : engine(seed)
    {
    }

    uint32_t below(uint32_t bound) override { return bound == 0 ? 0 : this->engine(bound); }

private:
    pcg32 engine;
};

} // namespace lavender
