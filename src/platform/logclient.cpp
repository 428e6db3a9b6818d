#include <celeryroute/detail/platform/logclient.h>

#include <utility>

namespace celeryroute {

LogClient::LogClient(HttpLog log)
    : m_log(std::move(log))
{}

LogClient::LogClient(MemoryLog log)
    : m_log(std::move(log))
{}

AppendOutcome LogClient::append(const std::string &record)
{
    return std::visit([&record](auto &log) { return log.append(record); }, m_log);
}

ReadOutcome LogClient::read(const LogRead &read)
{
    return std::visit([&read](auto &log) { return log.read(read); }, m_log);
}

} // namespace celeryroute
