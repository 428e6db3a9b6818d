#include <celeryroute/detail/gateway/eventsplitter.h>

#include <celeryroute/detail/http1/messagehead.h>

namespace celeryroute {

namespace {

/// @brief Whether the line feed at @p end ends a line without content.
bool endsEmptyLine(std::string_view bytes, std::size_t end)
{
    const std::string_view before = bytes.substr(0, end);
    return before.empty() || before.ends_with('\n') || before == "\r" || before.ends_with("\n\r");
}

} // namespace

EventSplitter::EventSplitter(std::string versionField)
    : m_versionField(std::move(versionField))
{}

std::string EventSplitter::takeCompleteEvents(std::string &bytes, std::size_t searched)
{
    std::size_t whole = 0;
    for (std::size_t end = bytes.find('\n', searched); end != std::string::npos; end = bytes.find('\n', end + 1)) {
        if (endsEmptyLine(bytes, end)) {
            whole = end + 1;
        }
    }
    std::string taken = bytes.substr(0, whole);
    bytes.erase(0, whole);
    std::string_view rest = taken;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        std::string_view line = rest.substr(0, end);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        readLine(line);
        rest.remove_prefix(end + 1);
    }
    return taken;
}

void EventSplitter::readLine(std::string_view line)
{
    if (line.empty()) {
        ++m_eventCount;
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    std::string_view value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    const std::string_view name = line.substr(0, colon);
    if (name == "id") {
        m_lastId = value;
    } else if (equalsIgnoringCase(name, m_versionField)) {
        m_weightsVersion = value;
    }
}

} // namespace celeryroute
