/** @file log_func.h Logging of the daemons, with log4cxx. */
#pragma once

#include "core/event_base.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace lavender {

/**
 * Configures the log; called at start and again when settings are reloaded.
 * @param format "text" writes to standard error; "json" writes one object a line to standard output.
 * @param level Lowest level that is written: "debug", "info", "warn" or "error".
 */
void setupLog(std::string_view format, std::string_view level);

/** True if the configured level lets lines of @p level through. */
bool isLogged(EventLevel level);

/**
 * Writes one event, if its level is enabled. A line whose write would block is dropped; the next line that is
 * written counts it in left_out, whatever its event.
 * @param event Event name, a fixed text to search for.
 * @param suppressed Events of this name that the rate limit held back since the last line of this name.
 */
void logEvent(EventLevel level, std::string_view event, std::initializer_list<EventField> fields, uint64_t suppressed = 0);

/** Writes one line of level info. @param event Event name, a fixed text to search for. @param detail Free text; empty for none. */
void logInfo(std::string_view event, std::string_view detail);
/** Like logInfo(), of level warn. */
void logWarning(std::string_view event, std::string_view detail);
/** Like logInfo(), but of level error, which is written at every configured level. */
void logError(std::string_view event, std::string_view detail);

} // namespace lavender
