#pragma once

#include <celeryroute/detail/platform/httplog.h>
#include <celeryroute/detail/platform/memorylog.h>

#include <variant>

namespace celeryroute {

/// @brief The platform's append-only log; blocking, for one thread at a time.
class LogClient
{
public:
    explicit LogClient(HttpLog log);
    explicit LogClient(MemoryLog log);

    AppendOutcome append(const std::string &record);
    ReadOutcome read(const LogRead &read);

private:
    std::variant<HttpLog, MemoryLog> m_log;
};

} // namespace celeryroute
