/** @file refusal_backoff.h Pauses new flows at an upstream that returns their opening packets. */
#pragma once

#include "core/time_type.h"

#include <algorithm>

namespace lavender {

/** Exponential backoff: each refusal in a row doubles the pause, the first accepted opening ends it. */
class RefusalBackoff {
public:
    /** The upstream returned an opening packet. During a pause this has no effect: those packets were sent before it began. */
    void onRefused(TimePoint now)
    {
        if (now >= this->pausedUntil) {
            this->pause = std::clamp(this->pause * 2, shortestPause, longestPause);
            this->pausedUntil = now + this->pause;
        }
    }

    /** Ends the backoff: the upstream accepted an opening packet or was replaced by a new one. */
    void reset() { *this = {}; }

    bool isPaused(TimePoint now) const { return now < this->pausedUntil; }

private:
    static constexpr Duration shortestPause = 50ms; ///< By then a full upstream has finished some requests.
    static constexpr Duration longestPause = 1s; ///< An upstream that recovers without reporting it is found within a heartbeat.

    Duration pause {}; ///< Length of the latest pause; zero if there was none.
    TimePoint pausedUntil {};
};

} // namespace lavender
