/** @file event_base.h Events that the decision library logs: one for each decision and each change in what it knows. */
#pragma once

#include "core/address_type.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace lavender {

/** Severity of an event. */
enum class EventLevel : uint8_t {
    Debug, ///< Frequent and of use for debugging only; the first level to be filtered out.
    Info, ///< A decision, or a change in what the process knows.
    Warning, ///< A dependency was lost or an input was refused.
};

/** One field of an event, such as an input of the decision: name and value. */
using EventField = std::pair<std::string_view, std::string>;

/** Receives the events of the decision library. */
class EventSink {
public:
    virtual ~EventSink() = default;

    /**
     * Logs an event.
     * @param name Kind of event; one of a fixed set of names.
     */
    virtual void log(EventLevel level, std::string_view name, std::initializer_list<EventField> fields) = 0;
};

/** Discards all events. */
class NullEventSink final : public EventSink {
public:
    void log(EventLevel /*level*/, std::string_view /*name*/, std::initializer_list<EventField> /*fields*/) override { }
};

} // namespace lavender
