/** @file flow_timing.h When the ends of a flow repeat their packets. The protocol of the flows states it, so an adapter fills it in. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace lavender {

/** Schedule of callers and upstreams. */
struct FlowTiming {
    static constexpr uint32_t lastOpeningCopy = 2; ///< Number of a caller's last copy of an opening packet; 0 is the original.

    std::array<Duration, lastOpeningCopy + 1> openingCopies {}; ///< When a caller sends the original and the copies, from the original on.
    Duration openingTimeout {}; ///< From the original to the end of an attempt without an answer, after which a caller may open another flow.
    Duration longestRetransmission {}; ///< Longest interval between two copies of any other packet.
    Duration answerRepeatTime {}; ///< An upstream repeats its answer to an opening for this long before it drops its half of the flow.
    Duration addressReuseTime {}; ///< The address of an upstream that ended may belong to another one from then on.

    /** Time from a caller's original opening packet to its copy number @p copy. */
    Duration openingAge(uint32_t copy) const;

    /** True if the caller may have sent its next copy by now, since copy number @p copy may have arrived as long ago as @p age. */
    bool mayNextCopyBeSent(uint32_t copy, Duration age) const;

    /** Longest time between two copies of an opening packet: who keeps one for longer answers it twice. */
    Duration longestCopyInterval() const { return this->openingCopies.back() - this->openingCopies[lastOpeningCopy - 1]; }

    /**
     * True if the caller can only be answered by this copy: its next packet, a copy or the opening of another flow, comes too late
     * for an answer within the route's timeout. Without a timeout there is always another packet.
     */
    bool isLastChance(uint32_t copy, std::optional<Duration> timeout) const;
};

} // namespace lavender
