/** @file event_log.h Writes the events of the decision library to the log, with a rate limit for each event name. */
#pragma once

#include "core/clock_base.h"
#include "core/event_base.h"

#include <map>
#include <string>

namespace lavender {

/**
 * Writes one log line for each event.
 *
 * Events above the rate limit of their name are suppressed; the next line of that name tells how many there were.
 */
class EventLog final : public EventSink {
public:
    explicit EventLog(const Clock& clock)
        : clock(clock)
    {
    }

    void log(EventLevel level, std::string_view name, std::initializer_list<EventField> fields) override;

private:
    struct TokenBucket {
        double tokens = 0; ///< Lines that may be written at @c refilledAt.
        TimePoint refilledAt {}; ///< When @c tokens was last brought up to date.
        uint64_t suppressed = 0; ///< Events that were not written since the last line of this name.
    };

    const Clock& clock;
    std::map<std::string, TokenBucket, std::less<>> buckets; ///< By event name.
};

} // namespace lavender
