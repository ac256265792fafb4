/** @file outcome_window.h Counts how the latest requests to an upstream ended, by the packets that pass its agent. */
#pragma once

#include "core/address_type.h"
#include "core/time_type.h"
#include "wire/message_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lavender {

/**
 * Sliding window of the requests that ended well or badly.
 *
 * A request ends well with the first data of its answer. It ends badly if the upstream resets or closes the flow instead, or if no
 * answer comes for several times the usual processing time; that is counted once, while the request is still pending.
 */
class OutcomeWindow {
public:
    /**
     * A part of a request was delivered to the upstream; the wait for the answer begins with the last part.
     * @param bytes Data bytes of the part.
     * @param busy Requests at the upstream, this one included.
     */
    void onRequestPart(TimePoint now, const FlowKey& flow, uint16_t bytes, size_t busy);

    /** A part was delivered again: if it was lost before, the upstream could not work on the request until now. */
    void onRetransmission(TimePoint now, const FlowKey& flow);

    /**
     * The upstream sent data on the flow.
     * @param slots Requests that the upstream runs at once.
     */
    void onAnswer(TimePoint now, const FlowKey& flow, size_t slots);

    /** The upstream reset the flow, or closed its end of it. Counts only if a request is pending and was not counted yet. */
    void onBrokenOff(TimePoint now, const FlowKey& flow);

    /** The caller has ended the flow, or the flow is no longer at this upstream: what becomes of its request says nothing. */
    void forget(const FlowKey& flow) { this->pending.erase(flow); }

    /**
     * Counts pending requests that are overdue.
     * @param usual Usual processing time of one request; none if unknown.
     * @param slots Requests that the upstream runs at once.
     */
    void tick(TimePoint now, std::optional<Duration> usual, size_t slots);

    /** Starts over for a new upstream. */
    void reset() { *this = {}; }

    /** Counts of the window. */
    RequestOutcomes counts(TimePoint now) const;

private:
    static constexpr size_t bucketCount = 6;

    /** Requests that ended within one span of time. */
    struct Bucket {
        int64_t number = -1; ///< Spans since the origin of the clock; -1 if the bucket was never used.
        uint16_t finished = 0;
        uint16_t failed = 0;
        Duration processing {}; ///< Sum of the processing times of the requests that ended well.
    };

    /** A request without an answer. */
    struct Pending {
        TimePoint since {}; ///< When its latest part was delivered.
        size_t busy = 1; ///< Requests at the upstream then, itself included.
        uint16_t longestPart = 0; ///< Data bytes of its longest part.
        bool isInTransfer = false; ///< Its latest part was as long as the longest of several: more may follow.
        bool isCounted = false; ///< It was counted as ended badly.
    };

    Bucket& bucketAt(TimePoint now);
    void countFailure(TimePoint now);

    std::array<Bucket, bucketCount> buckets;
    std::unordered_map<FlowKey, Pending> pending; ///< By flow.
    uint16_t goodInARow = 0; ///< Requests that ended well since the last that ended badly.
    TimePoint lastTick {};
};

} // namespace lavender
