/** @file log.cpp Formats log lines as text or JSON and writes them without blocking. */
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

    bool isJson = false; // Output format. A reload of the settings may change it.

    log4cxx::LoggerPtr daemonLogger()
    {
        return log4cxx::Logger::getLogger("lavender");
    }

    std::string formatJson(std::string_view level, std::string_view event, std::initializer_list<EventField> fields, uint64_t suppressed)
    {
        nlohmann::ordered_json line;
        GDateTime* time = g_date_time_new_now_utc();
        gchar* text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S.%fZ");
        line["time"] = text;
        g_free(text);
        g_date_time_unref(time);
        line["steady_ms"] = g_get_monotonic_time() / 1000; // "time" follows the time of day, which may jump.
        line["level"] = level;
        line["event"] = event;
        for (const auto& [name, value] : fields) {
            line[std::string(name)] = value;
        }
        if (suppressed != 0) {
            line["left_out"] = suppressed;
        }
        return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }

    std::string formatText(std::string_view event, std::initializer_list<EventField> fields, uint64_t suppressed)
    {
        std::string line(event);
        for (const auto& [name, value] : fields) {
            appendText(line, name == "detail" ? ": " : concat(" ", name, "="), value);
        }
        if (suppressed != 0) {
            appendText(line, " left_out=", suppressed);
        }
        return line;
    }

    std::string format(std::string_view level, std::string_view event, std::initializer_list<EventField> fields, uint64_t suppressed)
    {
        return isJson ? formatJson(level, event, fields, suppressed) : formatText(event, fields, suppressed);
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

    std::string_view levelName(EventLevel level)
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

    uint64_t droppedLines = 0; // Lines of any event dropped since the last written line, because the output would have blocked.

    /** False if a write could block the main loop, such as on a full pipe whose reader has stopped reading. */
    bool isOutputWritable()
    {
        pollfd output { .fd = isJson ? STDOUT_FILENO : STDERR_FILENO, .events = POLLOUT, .revents = 0 };
        return poll(&output, 1, 0) == 1 && (output.revents & (POLLERR | POLLHUP | POLLNVAL)) == 0;
    }

    void writeLine(const log4cxx::LevelPtr& level, std::string_view name, std::string_view event, std::initializer_list<EventField> fields, uint64_t suppressed)
    {
        if (!isOutputWritable()) {
            ++droppedLines;
            return;
        }
        daemonLogger()->forcedLog(level, format(name, event, fields, suppressed + std::exchange(droppedLines, 0)));
    }

} // namespace

void setupLog(std::string_view format, std::string_view level)
{
    isJson = format == "json";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(isJson ? "%m%n" : "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, isJson ? "System.out" : "System.err");
    const log4cxx::LoggerPtr logger = daemonLogger();
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(appender);
    logger->setLevel(log4cxx::Level::toLevel(std::string(level)));
}

bool isLogged(EventLevel level)
{
    return daemonLogger()->isEnabledFor(toLevel(level));
}

void logEvent(EventLevel level, std::string_view event, std::initializer_list<EventField> fields, uint64_t suppressed)
{
    if (isLogged(level)) {
        writeLine(toLevel(level), levelName(level), event, fields, suppressed);
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
    writeLine(log4cxx::Level::getError(), "error", event, { { "detail", std::string(detail) } }, 0);
}

} // namespace lavender
