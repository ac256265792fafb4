/** @file opening_limit.h How long the queue of an upstream may be for one more opening, by what its caller can still gain from a place in it. */
#pragma once

#include "core/flow_timing.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lavender {

/** What bounds the queue of one upstream for the openings of one route. */
struct OpeningLimits {
    FlowTiming timing; ///< Of the callers.
    size_t slots = 1; ///< Requests that the upstream runs at once.
    std::optional<Duration> processing; ///< Mean time that it works on one request; none if unknown.
    bool hasSlowedDown = false; ///< It takes more than twice its usual time.
    std::optional<Duration> goal; ///< The route's latency goal.
    std::optional<Duration> timeout; ///< The route's timeout.

    /** Requests at the upstream from which on an original opening is refused, as its answer and all later ones would miss the goal. */
    size_t ofOriginal() const;

    /** Like ofOriginal, for copy number @p copy. */
    size_t ofCopy(uint32_t copy) const;

private:
    size_t ofLastChance(uint32_t copy) const;
};

} // namespace lavender
