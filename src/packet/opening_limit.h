/** @file opening_limit.h How long the queue of an upstream may be for one more opening, by what its caller can still gain from a place in it. */
#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lavender {

/** Time from a caller's original opening packet to its copy number @p copy; 0 is the original. */
Duration openingAge(uint32_t copy);

/**
 * True if the caller can only be answered by this copy: its next packet, a copy or the opening of another flow, comes too late
 * for an answer within the route's timeout. Without a timeout there is always another packet.
 */
bool isLastChance(uint32_t copy, std::optional<Duration> timeout);

/** What bounds the queue of one upstream for the openings of one route. */
struct OpeningLimits {
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
