/** @file readiness_gate.h Whether a balancer that is short of link or processor asks its routers to pass it over. */
#pragma once

#include "core/random_base.h"
#include "core/time_type.h"

namespace lavender {

/**
 * Reports not ready while packets wait for long, with hysteresis.
 *
 * A balancer knows only its own backlog. If all of a zone are short, each that leaves adds to the load of the others, so
 * a short balancer leaves with a probability, for a bounded time, and then stays for a while.
 */
class ReadinessGate {
public:
    explicit ReadinessGate(Random& random)
        : random(random)
    {
    }

    /** Takes the time that packets wait now. Call it regularly. @return True if isReady() has changed. */
    bool update(TimePoint now, Duration backlog);

    bool isReady() const { return this->ready; }

private:
    bool mayLeave(TimePoint now);

    Random& random;
    bool ready = true;
    bool isShort = false; ///< The backlog is high.
    TimePoint shortSince {}; ///< When isShort was set.
    TimePoint changedAt {}; ///< When it last became ready or not ready.
    TimePoint nextDraw {}; ///< No draw before this time.
};

} // namespace lavender
