/** @file random_base.h Where the library takes its random numbers from. */
#pragma once

#include "core/time_type.h"

#include <pcg_random.hpp>

#include <cstdint>

namespace lavender {

/** A source of random numbers. */
class Random {
public:
    virtual ~Random() = default;

    /** A number below @p bound; 0 where bound is 0. */
    virtual uint32_t below(uint32_t bound) = 0;

    /** True once in 1,000,000 / @p partsPerMillion calls. */
    bool chance(uint32_t partsPerMillion) { return this->below(1'000'000) < partsPerMillion; }

    /** A span in [0, @p limit): full jitter. */
    Duration jitter(Duration limit) { return limit * this->below(1U << 20U) / (1 << 20); }
};

/** PCG generator with a seed. */
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
