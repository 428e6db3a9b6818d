#include <celeryroute/detail/settings/settingreader.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <arpa/inet.h>

namespace celeryroute {

namespace {

constexpr int MaxPort = 65'535;

bool isEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr address{};
    int port = -1;
    const std::string host = text.substr(0, colon);
    return inet_pton(AF_INET, host.c_str(), &address) == 1 && absl::SimpleAtoi(text.substr(colon + 1), &port)
        && port >= 0 && port <= MaxPort;
}

} // namespace

SettingReader::SettingReader(const ParsedSettings &parsed)
    : m_parsed(parsed)
    , m_errors(parsed.errors)
{}

std::string SettingReader::text(const std::string &name)
{
    return find(name).value_or(std::string());
}

std::string SettingReader::requiredText(const std::string &name)
{
    const std::string value = text(name);
    if (value.empty()) {
        addError(ResultCode::SettingMissing, "--" + name + " is required");
    }
    return value;
}

bool SettingReader::flag(const std::string &name)
{
    const std::string value = find(name).value_or("false");
    if (value != "true" && value != "false") {
        addError(ResultCode::SettingInvalid, "--" + name + ": expected true or false, not '" + value + "'");
    }
    return value == "true";
}

std::int64_t SettingReader::integer(const std::string &name, std::int64_t least, std::int64_t most)
{
    const std::string value = requiredText(name);
    std::int64_t parsed = least;
    if (!value.empty() && (!absl::SimpleAtoi(value, &parsed) || parsed < least || parsed > most)) {
        addError(
            ResultCode::SettingInvalid,
            absl::StrCat("--", name, ": expected a whole number from ", least, " to ", most, ", not '", value, "'"));
        return least;
    }
    return parsed;
}

double SettingReader::number(const std::string &name, double least, double most)
{
    const std::string value = requiredText(name);
    double parsed = least;
    const bool valid = absl::SimpleAtod(value, &parsed) && parsed >= least && parsed <= most;
    if (!value.empty() && !valid) {
        addError(ResultCode::SettingInvalid,
                 absl::StrCat("--", name, ": expected a number from ", least, " to ", most, ", not '", value, "'"));
        return least;
    }
    return parsed;
}

Duration SettingReader::milliseconds(const std::string &name, std::int64_t least, std::int64_t most)
{
    return std::chrono::milliseconds(integer(name, least, most));
}

std::string SettingReader::endpoint(const std::string &name)
{
    const std::string value = requiredText(name);
    if (!value.empty() && !isEndpoint(value)) {
        addError(ResultCode::SettingInvalid,
                 "--" + name + ": expected an IPv4 number and a port like 127.0.0.1:8080, not '" + value + "'");
    }
    return value;
}

std::string SettingReader::url(const std::string &name, bool required)
{
    const std::string value = required ? requiredText(name) : text(name);
    if (value.empty()) {
        return value;
    }
    const std::string scheme = "http://";
    std::string rest = value.rfind(scheme, 0) == 0 ? value.substr(scheme.size()) : std::string();
    rest = rest.substr(0, rest.find('/'));
    if (!isEndpoint(rest)) {
        addError(ResultCode::SettingInvalid,
                 "--" + name + ": expected a URL like http://127.0.0.1:8080, not '" + value + "'");
    }
    return value;
}

std::string SettingReader::choice(const std::string &name, const std::vector<std::string> &choices)
{
    const std::string value = requiredText(name);
    if (!value.empty() && std::find(choices.begin(), choices.end(), value) == choices.end()) {
        addError(ResultCode::SettingInvalid,
                 "--" + name + ": expected one of " + absl::StrJoin(choices, ", ") + ", not '" + value + "'");
    }
    return value;
}

std::vector<std::string> SettingReader::list(const std::string &name)
{
    return absl::StrSplit(text(name), ',', absl::SkipEmpty());
}

void SettingReader::addError(ResultCode code, std::string message)
{
    m_errors.push_back({code, std::move(message)});
}

const std::vector<Error> &SettingReader::errors() const
{
    return m_errors;
}

std::optional<std::string> SettingReader::find(const std::string &name) const
{
    const auto found = m_parsed.values.find(name);
    return found == m_parsed.values.end() ? std::nullopt : std::optional(found->second);
}

} // namespace celeryroute
