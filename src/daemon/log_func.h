/** @file log_func.h Log lines for changes of state, by log4cxx, on standard error. */
#pragma once

#include <string_view>

namespace lavender {

/** Sets form ("text" or "json") and level ("debug", "info", "warn", "error") of the log. */
void setupLog(std::string_view format, std::string_view level);

/** Logs a change of state; @p event is stable and documented in docs/OPERATING.md. */
void logInfo(std::string_view event, std::string_view detail);
/** The same for a change that an operator should look at. */
void logWarning(std::string_view event, std::string_view detail);
/** The same for what ends the process. */
void logError(std::string_view event, std::string_view detail);

} // namespace lavender
