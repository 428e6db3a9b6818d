#include <standins/streamprobe.h>

#include <absl/strings/match.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

const std::string EventEnd = "\n\n";
const std::string EventPrefix = "data: ";

} // namespace

StreamProbe::StreamProbe(TimePoint start)
    : m_start(start)
{}

void StreamProbe::add(const std::string &data, TimePoint now)
{
    m_partial += data;
    std::size_t end = m_partial.find(EventEnd);
    while (end != std::string::npos) {
        addEvent(m_partial.substr(0, end), now);
        m_partial.erase(0, end + EventEnd.size());
        end = m_partial.find(EventEnd);
    }
}

void StreamProbe::addEvent(const std::string &event, TimePoint now)
{
    if (!absl::StartsWith(event, EventPrefix)) {
        return;
    }
    const std::string data = event.substr(EventPrefix.size());
    if (data == "[DONE]") {
        m_complete = true;
        return;
    }
    const nlohmann::json json = nlohmann::json::parse(data, nullptr, false);
    const nlohmann::json::json_pointer content("/choices/0/delta/content");
    if (json.is_discarded() || !json.contains(content)) {
        return;
    }
    m_text += json[content].get<std::string>();
    if (m_lastToken) {
        m_gaps.push_back(now - *m_lastToken);
    } else {
        m_firstTokenTime = now - m_start;
    }
    m_lastToken = now;
}

bool StreamProbe::complete() const
{
    return m_complete;
}

const std::string &StreamProbe::text() const
{
    return m_text;
}

std::optional<Duration> StreamProbe::firstTokenTime() const
{
    return m_firstTokenTime;
}

const std::vector<Duration> &StreamProbe::tokenGaps() const
{
    return m_gaps;
}

} // namespace celeryroute
