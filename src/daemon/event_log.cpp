/** @file event_log.cpp A token bucket for each kind of event. */
#include "daemon/event_log.h"

#include "daemon/log_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr double linesPerSecond = 40; ///< Of one kind of event; the four kinds that come with each flow stay under 200 a second.
    constexpr double burstLines = 40;

} // namespace

void EventLog::note(EventLevel level, std::string_view name, std::initializer_list<EventField> fields)
{
    if (!isLogged(level)) {
        return;
    }
    const TimePoint now = this->clock.now();
    const auto [found, isNew] = this->budgets.try_emplace(std::string(name));
    Budget& budget = found->second;
    const double elapsed = std::chrono::duration<double>(now - budget.filledAt).count();
    budget.lines = isNew ? burstLines : std::min(budget.lines + elapsed * linesPerSecond, burstLines);
    budget.filledAt = now;
    if (budget.lines < 1) {
        ++budget.leftOut;
        return;
    }
    budget.lines -= 1;
    logEvent(level, name, fields, std::exchange(budget.leftOut, 0));
}

} // namespace lavender
