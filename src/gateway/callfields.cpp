#include <celeryroute/detail/gateway/callfields.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/base/text.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace celeryroute {

namespace {

constexpr std::uint64_t LongestDeadlineMs = 86'400'000; ///< One day; larger values could overflow a TimePoint.
constexpr std::size_t LongestRequestId = 256; ///< Of a request that another one names.

std::optional<std::uint64_t> readNumber(std::string_view text)
{
    text = trimmed(text);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// @brief Removes the part before the first @p separator from @p rest and returns it without surrounding blanks.
std::string_view cutPart(std::string_view &rest, char separator)
{
    const std::size_t at = rest.find(separator);
    const std::string_view part = rest.substr(0, at);
    rest = at == std::string_view::npos ? std::string_view() : rest.substr(at + 1);
    return trimmed(part);
}

std::optional<std::string> readKey(const std::string &authorization, const std::string &scheme)
{
    std::string_view rest = authorization;
    const std::string_view given = cutPart(rest, ' ');
    const std::string_view key = trimmed(rest);
    if (!equalsIgnoringCase(given, scheme) || key.empty()) {
        return std::nullopt;
    }
    return std::string(key);
}

void readModel(std::string_view text, CallFields &fields)
{
    fields.model = cutPart(text, '/');
    fields.adapter = trimmed(text);
}

void readTokenCounts(std::string_view text, CallFields &fields)
{
    const auto prompt = readNumber(cutPart(text, ','));
    const auto output = readNumber(text);
    if (prompt && output) {
        fields.countsTokens = true;
        fields.promptTokens = *prompt;
        fields.maxOutputTokens = *output;
    }
}

void readPromptParts(std::string_view text, CallFields &fields)
{
    while (!text.empty()) {
        std::string_view part = cutPart(text, ',');
        const std::string_view id = cutPart(part, ':');
        const auto tokens = readNumber(part);
        if (!id.empty() && tokens) {
            fields.promptParts.emplace_back(id, *tokens);
        }
    }
}

} // namespace

std::vector<std::uint64_t> sharedPartDigests(const CallFields &fields)
{
    constexpr std::size_t MaxParts = 32; // Bounds what entries remember of one request and tell each other.
    std::vector<std::uint64_t> digests;
    for (std::size_t i = 0; i + 1 < fields.promptParts.size() && i < MaxParts; ++i) {
        digests.push_back(stableHash(fields.promptParts[i].first));
    }
    return digests;
}

double costOf(const CallFields &fields, const ServingCustomer &customer)
{
    if (!customer.countsTokens) {
        return 1;
    }
    // Both counts come from the caller. Adding them as doubles can't overflow.
    return fields.countsTokens ? static_cast<double>(fields.promptTokens) + static_cast<double>(fields.maxOutputTokens)
                               : customer.defaultCost;
}

CallFields readCallFields(const MessageHead &head, const HeaderNames &names)
{
    CallFields fields;
    for (const HeaderField &field : head.fields) {
        const auto is = [&field](const std::string &name) { return equalsIgnoringCase(field.name, name); };
        if (is(names.requestId)) {
            fields.requestId = field.value;
        } else if (is(names.deadline)) {
            if (const auto ms = readNumber(field.value)) {
                fields.deadline = std::chrono::milliseconds(std::min(*ms, LongestDeadlineMs));
            }
        } else if (is(names.authorization)) {
            fields.key = readKey(field.value, names.keyScheme);
        } else if (is(names.model)) {
            readModel(field.value, fields);
        } else if (is(names.tokenCounts)) {
            readTokenCounts(field.value, fields);
        } else if (is(names.promptParts)) {
            readPromptParts(field.value, fields);
        } else if (is(names.lengthHint)) {
            fields.lengthHint = readNumber(field.value).value_or(0);
        } else if (is(names.lastEventId)) {
            fields.lastEventId = field.value;
        } else if (is(names.resumes) && field.value.size() <= LongestRequestId) {
            fields.resumes = trimmed(field.value);
        }
    }
    return fields;
}

} // namespace celeryroute
