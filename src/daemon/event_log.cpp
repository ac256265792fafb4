/** @file event_log.cpp Rate limit with a token bucket for each event name. */
#include "daemon/event_log.h"

#include "daemon/log_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr double maximumLinesPerSecond = 40; ///< For each event name. Four events come with every flow: together they stay below 200 lines a second.
    constexpr double maximumBurstLines = 40; ///< For each event name: lines that may be written at once after a quiet time.

} // namespace

void EventLog::log(EventLevel level, std::string_view name, std::initializer_list<EventField> fields)
{
    if (!isLogged(level)) {
        return;
    }
    const TimePoint now = this->clock.now();
    const auto [found, isNew] = this->buckets.try_emplace(std::string(name));
    TokenBucket& bucket = found->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = isNew ? maximumBurstLines : std::min(bucket.tokens + elapsed * maximumLinesPerSecond, maximumBurstLines);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.suppressed;
        return;
    }
    bucket.tokens -= 1;
    logEvent(level, name, fields, std::exchange(bucket.suppressed, 0));
}

} // namespace lavender
