/** @file event_queue.h Virtual time: functions that run in the order of their moments. */
#pragma once

#include "core/clock_base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace lavender {

/** The clock and the calendar of a replay. */
class EventQueue final : public Clock {
public:
    TimePoint now() const override { return this->moment; }

    /** Runs @p function at @p at, after all that was scheduled for the same moment before. */
    void schedule(TimePoint at, std::function<void()> function) { this->events.emplace(std::pair(std::max(at, this->moment), this->nextNumber++), std::move(function)); }
    void scheduleIn(Duration delay, std::function<void()> function) { this->schedule(this->moment + delay, std::move(function)); }

    /** Runs all up to @p end. */
    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            const auto next = this->events.extract(this->events.begin());
            this->moment = next.key().first;
            next.mapped()();
        }
        this->moment = end;
    }

private:
    TimePoint moment {};
    uint64_t nextNumber = 0;
    std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> events;
};

} // namespace lavender
