/** @file event_queue.h Discrete-event simulation: a virtual clock and its event queue. */
#pragma once

#include "core/clock_base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace lavender {

/** Virtual clock of a simulation; it advances from one scheduled event to the next. */
class EventQueue final : public Clock {
public:
    TimePoint now() const override { return this->currentTime; }

    /**
     * Schedules @p callback for @p at, or for now where @p at has passed.
     * Callbacks of the same time run in the order in which they were scheduled.
     */
    void schedule(TimePoint at, std::function<void()> callback)
    {
        this->events.emplace(std::pair(std::max(at, this->currentTime), this->nextSequence++), std::move(callback));
    }

    /** Schedules @p callback for @p delay from now. */
    void scheduleIn(Duration delay, std::function<void()> callback) { this->schedule(this->currentTime + delay, std::move(callback)); }

    /** Runs all events up to and including @p end, then sets the clock to @p end. */
    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            const auto next = this->events.extract(this->events.begin());
            this->currentTime = next.key().first;
            next.mapped()();
        }
        this->currentTime = end;
    }

private:
    TimePoint currentTime {};
    uint64_t nextSequence = 0; ///< Orders events of the same time.
    std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> events; ///< By time and sequence number.
};

} // namespace lavender
