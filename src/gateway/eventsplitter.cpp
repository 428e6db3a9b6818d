#include <celeryroute/detail/gateway/eventsplitter.h>

#include <celeryroute/detail/http1/messagehead.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace celeryroute {

namespace {

/// @brief Whether the line feed at @p end ends a line without content.
bool endsEmptyLine(std::string_view bytes, std::size_t end)
{
    const std::string_view before = bytes.substr(0, end);
    return before.empty() || before.ends_with('\n') || before == "\r" || before.ends_with("\n\r");
}

bool isFieldName(std::string_view name)
{
    return std::all_of(name.begin(), name.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    });
}

bool isNumber(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// @brief Whether the number @p left is less than @p right. Numbers may be of any length.
bool isLess(std::string_view left, std::string_view right)
{
    left.remove_prefix(std::min(left.find_first_not_of('0'), left.size()));
    right.remove_prefix(std::min(right.find_first_not_of('0'), right.size()));
    return left.size() != right.size() ? left.size() < right.size() : left < right;
}

} // namespace

/// The lines of one event that matter here.
struct EventSplitter::Event {
    bool empty = true; ///< No line was read.
    bool known = false; ///< At least one line is a comment or a field that events may have.
    std::optional<std::string_view> id;
    std::optional<std::string_view> version;
};

EventSplitter::EventSplitter(std::string versionField)
    : m_versionField(std::move(versionField))
{}

EventSplitter::Taken EventSplitter::takeCompleteEvents(std::string &bytes, std::size_t searched)
{
    std::size_t whole = 0;
    for (std::size_t end = bytes.find('\n', searched); end != std::string::npos; end = bytes.find('\n', end + 1)) {
        if (endsEmptyLine(bytes, end)) {
            whole = end + 1;
        }
    }
    Taken taken{bytes.substr(0, whole)};
    bytes.erase(0, whole);
    std::size_t valid = 0; ///< End of the last event that was taken.
    Event event;
    for (std::size_t at = 0; at < taken.events.size();) {
        const std::size_t end = taken.events.find('\n', at);
        std::string_view line = std::string_view(taken.events).substr(at, end - at);
        at = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (!line.empty()) {
            taken.valid = readLine(line, event);
        } else {
            taken.valid = mayFollow(event);
            valid = taken.valid ? at : valid;
        }
        if (!taken.valid) {
            break;
        }
        if (line.empty()) {
            take(std::exchange(event, {}));
        }
    }
    taken.events.resize(valid);
    return taken;
}

bool EventSplitter::readLine(std::string_view line, Event &event) const
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    event.empty = false;
    const bool announcesVersion = equalsIgnoringCase(name, m_versionField);
    event.known = event.known || announcesVersion || name.empty() || name == "data" || name == "id" || name == "event"
        || name == "retry";
    if (colon != std::string_view::npos && name == "id") {
        event.id = value;
    } else if (colon != std::string_view::npos && announcesVersion) {
        event.version = value;
    }
    return isFieldName(name);
}

bool EventSplitter::mayFollow(const Event &event) const
{
    const bool rises = !event.id || !isNumber(*event.id) || !isNumber(m_lastId) || isLess(m_lastId, *event.id);
    return (event.empty || event.known) && rises;
}

void EventSplitter::take(const Event &event)
{
    ++m_eventCount;
    m_lastId = event.id.value_or(m_lastId);
    m_weightsVersion = event.version.value_or(m_weightsVersion);
}

} // namespace celeryroute
