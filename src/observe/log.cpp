#include <celeryroute/detail/observe/log.h>

#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace celeryroute {

namespace {

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr Logger = log4cxx::Logger::getLogger("celeryroute");
    return Logger;
}

LogIdentity &identity()
{
    static LogIdentity current;
    return current;
}

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

log4cxx::LevelPtr levelNamed(const std::string &name)
{
    if (name == "debug") {
        return log4cxx::Level::getDebug();
    }
    if (name == "info") {
        return log4cxx::Level::getInfo();
    }
    return name == "warning" ? log4cxx::Level::getWarn() : log4cxx::Level::getError();
}

void putField(const std::string &name, const std::string &value)
{
    if (!value.empty()) {
        log4cxx::MDC::put(name, value);
    }
}

} // namespace

void configureLog(const std::string &level, const LogIdentity &newIdentity)
{
    identity() = newIdentity;
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    logger()->removeAllAppenders();
    logger()->addAppender(appender);
    logger()->setAdditivity(false);
    logger()->setLevel(levelNamed(level));
}

void writeLog(LogLevel level, const std::string &message, std::initializer_list<LogField> fields)
{
    const log4cxx::LevelPtr nativeLevel = toLog4cxx(level);
    if (!logger()->isEnabledFor(nativeLevel)) {
        return;
    }
    putField("role", identity().role);
    putField("host", identity().host);
    putField("instance", identity().instance);
    for (const auto &[name, value] : fields) {
        putField(name, value);
    }
    logger()->forcedLog(nativeLevel, message, LOG4CXX_LOCATION);
    log4cxx::MDC::clear();
}

} // namespace celeryroute
