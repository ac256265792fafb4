/** @file log.cpp One logger a process. */
#include "daemon/log_func.h"

#include "core/text_func.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <string>

namespace lavender {

namespace {

    log4cxx::LoggerPtr processLogger()
    {
        return log4cxx::Logger::getLogger("lavender");
    }

    std::string line(std::string_view event, std::string_view detail)
    {
        return detail.empty() ? std::string(event) : concat(event, ": ", detail);
    }

} // namespace

void setupLog(std::string_view format, std::string_view level)
{
    log4cxx::LayoutPtr layout;
    if (format == "json") {
        layout = std::make_shared<log4cxx::JSONLayout>();
    } else {
        layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n");
    }
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    const log4cxx::LoggerPtr logger = processLogger();
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(appender);
    logger->setLevel(log4cxx::Level::toLevel(std::string(level)));
}

void logInfo(std::string_view event, std::string_view detail)
{
    LOG4CXX_INFO(processLogger(), line(event, detail));
}

void logWarning(std::string_view event, std::string_view detail)
{
    LOG4CXX_WARN(processLogger(), line(event, detail));
}

void logError(std::string_view event, std::string_view detail)
{
    LOG4CXX_ERROR(processLogger(), line(event, detail));
}

} // namespace lavender
