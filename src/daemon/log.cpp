/** @file log.cpp One logger a process. */
#include "daemon/log_func.h"

#include "core/text_func.h"

#include <glib.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <string>
#include <unistd.h>
#include <utility>

namespace lavender {

namespace {

    bool isJson = false; // Set once by setupLog, before the loop runs.

    log4cxx::LoggerPtr processLogger()
    {
        return log4cxx::Logger::getLogger("lavender");
    }

    std::string formatJson(std::string_view level, std::string_view event, std::initializer_list<EventField> fields, uint64_t leftOut)
    {
        nlohmann::ordered_json line;
        GDateTime* time = g_date_time_new_now_utc();
        gchar* text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S.%fZ");
        line["time"] = text;
        g_free(text);
        g_date_time_unref(time);
        line["steady_ms"] = g_get_monotonic_time() / 1000; // The time of day may jump.
        line["level"] = level;
        line["event"] = event;
        for (const auto& [name, value] : fields) {
            line[std::string(name)] = value;
        }
        if (leftOut != 0) {
            line["left_out"] = leftOut;
        }
        return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }

    std::string formatText(std::string_view event, std::initializer_list<EventField> fields, uint64_t leftOut)
    {
        std::string line(event);
        for (const auto& [name, value] : fields) {
            appendText(line, name == "detail" ? ": " : concat(" ", name, "="), value);
        }
        if (leftOut != 0) {
            appendText(line, " left_out=", leftOut);
        }
        return line;
    }

    std::string format(std::string_view level, std::string_view event, std::initializer_list<EventField> fields, uint64_t leftOut)
    {
        return isJson ? formatJson(level, event, fields, leftOut) : formatText(event, fields, leftOut);
    }

    log4cxx::LevelPtr toLevel(EventLevel level)
    {
        switch (level) {
        case EventLevel::Debug:
            return log4cxx::Level::getDebug();
        case EventLevel::Info:
            return log4cxx::Level::getInfo();
        case EventLevel::Warning:
            return log4cxx::Level::getWarn();
        }
        return log4cxx::Level::getInfo();
    }

    std::string_view toText(EventLevel level)
    {
        switch (level) {
        case EventLevel::Debug:
            return "debug";
        case EventLevel::Info:
            return "info";
        case EventLevel::Warning:
            return "warn";
        }
        return "info";
    }

    constexpr std::initializer_list<EventField> noFields;

    uint64_t droppedLines = 0; // Since the last line that was written.

    /** False where a write could block: whoever reads the log has stopped reading. */
    bool mayWrite()
    {
        pollfd output { .fd = isJson ? STDOUT_FILENO : STDERR_FILENO, .events = POLLOUT, .revents = 0 };
        return poll(&output, 1, 0) == 1 && (output.revents & (POLLERR | POLLHUP | POLLNVAL)) == 0;
    }

    void write(const log4cxx::LevelPtr& level, std::string_view name, std::string_view event, std::initializer_list<EventField> fields, uint64_t leftOut)
    {
        if (!mayWrite()) {
            ++droppedLines;
            return;
        }
        processLogger()->forcedLog(level, format(name, event, fields, leftOut + std::exchange(droppedLines, 0)));
    }

} // namespace

void setupLog(std::string_view format, std::string_view level)
{
    isJson = format == "json";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(isJson ? "%m%n" : "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, isJson ? "System.out" : "System.err");
    const log4cxx::LoggerPtr logger = processLogger();
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(appender);
    logger->setLevel(log4cxx::Level::toLevel(std::string(level)));
}

bool isLogged(EventLevel level)
{
    return processLogger()->isEnabledFor(toLevel(level));
}

void logEvent(EventLevel level, std::string_view event, std::initializer_list<EventField> fields, uint64_t leftOut)
{
    if (isLogged(level)) {
        write(toLevel(level), toText(level), event, fields, leftOut);
    }
}

void logInfo(std::string_view event, std::string_view detail)
{
    detail.empty() ? logEvent(EventLevel::Info, event, noFields) : logEvent(EventLevel::Info, event, { { "detail", std::string(detail) } });
}

void logWarning(std::string_view event, std::string_view detail)
{
    detail.empty() ? logEvent(EventLevel::Warning, event, noFields) : logEvent(EventLevel::Warning, event, { { "detail", std::string(detail) } });
}

void logError(std::string_view event, std::string_view detail)
{
    write(log4cxx::Level::getError(), "error", event, { { "detail", std::string(detail) } }, 0);
}

} // namespace lavender
