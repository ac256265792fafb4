/** @file priority_reserve.h Keeps room of an upstream for more urgent openings, as far as recent arrivals show that it is needed. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace lavender {

constexpr uint8_t leastUrgentPriority = UINT8_MAX; ///< Of a flow whose route is not known.

/** Room of an upstream for one kind of opening. */
struct UpstreamRoom {
    size_t slots = 1; ///< Requests that the upstream runs at once.
    size_t limit = 1; ///< Requests from which on no opening is admitted, whatever its priority.
    std::optional<Duration> processingTime; ///< Mean time that one request takes; none if unknown.
};

/** A limit that holds for one priority and all less urgent ones. */
struct PriorityLimit {
    uint8_t from = 0; ///< Most urgent priority that the limit holds for.
    size_t requests = 0; ///< Requests from which on no such opening is admitted.
};

/**
 * Trunk reservation by priority for the slots and the queue of one upstream. Priority 0 is the most urgent.
 *
 * An opening gets no place in the queue while more urgent ones have arrived lately, since those would wait behind it; and no
 * slot that more urgent requests are expected to use: by Little's law their arrival rate times the processing time, less
 * those that are at the upstream already. A priority that has been refused in this way for long gets one admission.
 */
class PriorityReserve {
public:
    /** Counts an opening that needs room here, whether it is admitted or not. */
    void recordArrival(TimePoint now, uint8_t priority);

    /** Counts a request that takes a slot or a queue place from now on. */
    void beginRequest(uint8_t priority);

    /** A request that was counted by beginRequest() has ended. */
    void endRequest(uint8_t priority);

    /** An opening of this priority was admitted: it is not starved. */
    void recordAdmission(uint8_t priority) { this->refusals.erase(priority); }

    /** An opening of this priority was refused for the sake of more urgent ones. */
    void recordRefusal(TimePoint now, uint8_t priority);

    /** Number of requests at the upstream from which on an opening of this priority is not admitted; at most @p room.limit. */
    size_t limit(TimePoint now, uint8_t priority, const UpstreamRoom& room) const;

    /** Lowest limit for less urgent openings, to tell those who offer them; none if all priorities have @p room.limit now. */
    std::optional<PriorityLimit> reportedLimit(TimePoint now, const UpstreamRoom& room) const;

    /** More urgent openings that arrived in the last window. */
    size_t moreUrgentArrivals(TimePoint now, uint8_t priority) const;

    static constexpr Duration window = 2s; ///< Arrivals are forgotten after this.
    static constexpr Duration shareInterval = 1s; ///< A priority that is refused for this long gets the next place.

private:
    /** Arrivals of one priority in a sliding window of buckets. */
    struct Arrivals {
        static constexpr int64_t buckets = 8;
        std::array<uint32_t, buckets> counts {};
        int64_t latest = 0; ///< Number of the bucket of the latest arrival, from the start of the clock.

        void add(TimePoint now);
        size_t count(TimePoint now) const;
    };

    /** Refusals of one priority since its latest admission. */
    struct Refusals {
        TimePoint since {}; ///< First one of those that follow each other within the window.
        TimePoint latest {};
    };

    bool isShareDue(TimePoint now, uint8_t priority) const;
    double expectedSlots(TimePoint now, uint8_t priority, Duration processingTime) const;

    std::map<uint8_t, Arrivals> arrivals; ///< By priority.
    std::map<uint8_t, size_t> running; ///< Requests at the upstream, by priority.
    std::map<uint8_t, Refusals> refusals; ///< By priority.
};

} // namespace lavender
