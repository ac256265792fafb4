/** @file refusal_backoff.h Pauses new flows at an upstream that gives their opening packets back. */
#pragma once

#include "core/time_type.h"

#include <algorithm>

namespace lavender {

/** Grows with each refusal in a row; one accepted opening ends it. */
class RefusalBackoff {
public:
    /** The upstream gave an opening packet back. Others that were on their way with it change nothing. */
    void onRefused(TimePoint now)
    {
        if (now >= this->pausedUntil) {
            this->pause = std::clamp(this->pause * 2, shortestPause, longestPause);
            this->pausedUntil = now + this->pause;
        }
    }

    /** The upstream took one, or a new one stands in its place. */
    void reset() { *this = {}; }

    bool isPaused(TimePoint now) const { return now < this->pausedUntil; }

private:
    static constexpr Duration shortestPause = 50ms; ///< A full upstream has finished some requests by then.
    static constexpr Duration longestPause = 1s; ///< An upstream that recovers without a word is found within a heartbeat.

    Duration pause {};
    TimePoint pausedUntil {};
};

} // namespace lavender
