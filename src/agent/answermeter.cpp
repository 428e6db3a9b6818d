#include <celeryroute/detail/agent/answermeter.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

constexpr std::size_t MaxInspectedBytes = 1U << 20U;

std::uint64_t usageTokens(const std::string &text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("usage") || !json["usage"].is_object()) {
        return 0;
    }
    const nlohmann::json tokens = json["usage"].value("total_tokens", nlohmann::json());
    return tokens.is_number_unsigned() ? tokens.get<std::uint64_t>() : 0;
}

/// Returns the position after the first blank line of @p text, or npos.
std::size_t eventEnd(const std::string &text, std::size_t from)
{
    const std::size_t plain = text.find("\n\n", from);
    const std::size_t carriage = text.find("\r\n\r\n", from);
    if (plain == std::string::npos && carriage == std::string::npos) {
        return std::string::npos;
    }
    return plain < carriage ? plain + 2 : carriage + 4;
}

} // namespace

void AnswerMeter::begin(const std::string &contentType)
{
    m_eventStream = contentType.find("text/event-stream") != std::string::npos;
}

std::string AnswerMeter::take(const std::string &data)
{
    if (!m_eventStream) {
        if (m_body.size() + data.size() <= MaxInspectedBytes) {
            m_body += data;
        }
        return data;
    }
    m_partial += data;
    std::size_t begin = 0;
    for (std::size_t end = eventEnd(m_partial, 0); end != std::string::npos; end = eventEnd(m_partial, begin)) {
        inspect(m_partial.substr(begin, end - begin));
        begin = end;
    }
    std::string whole = m_partial.substr(0, begin);
    m_partial.erase(0, begin);
    return whole;
}

void AnswerMeter::finish()
{
    if (!m_eventStream) {
        m_reportedTokens = usageTokens(m_body);
    }
}

bool AnswerMeter::isInsideEvent() const
{
    return !m_partial.empty();
}

std::size_t AnswerMeter::partialBytes() const
{
    return m_partial.size();
}

void AnswerMeter::dropPartial()
{
    m_partial.clear();
}

bool AnswerMeter::isEventStream() const
{
    return m_eventStream;
}

std::uint64_t AnswerMeter::events() const
{
    return m_events;
}

bool AnswerMeter::done() const
{
    return m_done;
}

std::uint64_t AnswerMeter::tokensUsed(std::uint64_t promptTokens, std::uint64_t reserved) const
{
    if (m_reportedTokens > 0) {
        return m_reportedTokens;
    }
    return m_eventStream ? promptTokens + m_events : reserved;
}

void AnswerMeter::inspect(const std::string &event)
{
    ++m_events;
    const std::string prefix = "data:";
    if (event.compare(0, prefix.size(), prefix) != 0) {
        return;
    }
    if (event.find("[DONE]") != std::string::npos && event.size() < 32) {
        m_done = true;
        return;
    }
    if (event.find("\"usage\"") != std::string::npos) {
        m_reportedTokens = std::max(m_reportedTokens, usageTokens(event.substr(prefix.size())));
    }
}

} // namespace celeryroute
