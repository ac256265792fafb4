/** @file cold_start_limiter.h Limits the rate of new flows at a cold upstream. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace lavender {

/** Sliding-window rate limiter for openings; it limits only while the upstream is cold. */
class ColdStartLimiter {
public:
    /** Sets the openings per second that a cold upstream can take; none for no limit. */
    void setRate(std::optional<uint32_t> openingsPerSecond) { this->rate = openingsPerSecond; }

    /** Takes the remaining cold time from a report of the upstream; it replaces the earlier value. */
    void onReport(TimePoint now, Duration coldLeft);

    /** Counts the upstream as cold until its next report, as it may have turned cold without reporting it. */
    void assumeCold(TimePoint now);

    bool isCold(TimePoint now) const { return !this->isReportCurrent || now < this->coldUntil; }

    /** True if one more opening is within the limit now. */
    bool mayOpen(TimePoint now) const;

    /** Counts an opening that was sent to the upstream. */
    void recordOpening(TimePoint now);

    /** Allows no opening for one window, if cold: a restarted agent does not know the openings that its predecessor sent. */
    void blockOneWindow(TimePoint now) { this->blockedUntil = now + window; }

private:
    static constexpr Duration window = 1100ms; ///< One second, plus 100 ms for packets that are delayed on their way to the upstream.

    std::optional<uint32_t> rate; ///< Openings per second while cold; none for no limit.
    bool isReportCurrent = false; ///< False before the first report and after assumeCold.
    TimePoint assumedColdAt {}; ///< Time of the latest assumeCold; zero if there was none.
    TimePoint coldUntil {};
    TimePoint blockedUntil {};
    std::deque<TimePoint> recentOpenings; ///< Times of the openings in the last window, oldest first.
};

} // namespace lavender
