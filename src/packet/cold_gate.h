/** @file cold_gate.h Bounds the openings that a cold upstream is given, over any sliding second. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace lavender {

/** What keeps a cold upstream from more new flows than it bears. */
class ColdGate {
public:
    /** Sets the openings a second that a cold upstream bears; none where there is no such limit. */
    void setRate(std::optional<uint32_t> openingsPerSecond) { this->rate = openingsPerSecond; }

    /** The upstream said how long it stays cold; that replaces all that was held of it. */
    void onReport(TimePoint now, Duration coldLeft);

    /** The upstream may have become cold without a word: it counts as cold until its next report. */
    void distrust(TimePoint now);

    bool isCold(TimePoint now) const { return !this->isTrusted || now < this->coldUntil; }

    /** True where one more opening fits now. */
    bool mayOpen(TimePoint now) const;

    /** An opening went to the upstream. */
    void noteOpening(TimePoint now);

    /** The agent does not know what went to the upstream before it started: the last second counts as used up. */
    void assumeUsedUp(TimePoint now) { this->blockedUntil = now + window; }

private:
    static constexpr Duration window = 1100ms; ///< A second, and a tenth for packets that wait on their way to the upstream.

    std::optional<uint32_t> rate;
    bool isTrusted = false;
    TimePoint distrustedAt {};
    TimePoint coldUntil {};
    TimePoint blockedUntil {};
    std::deque<TimePoint> recent; ///< Openings of the last window.
};

} // namespace lavender
