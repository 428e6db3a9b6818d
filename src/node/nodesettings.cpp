#include <celeryroute/detail/node/nodesettings.h>

#include <celeryroute/detail/base/text.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace celeryroute {

namespace {

constexpr std::uint32_t MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr double LongestSeconds = 86'400;
constexpr double MillisecondsPerSecond = 1'000;
constexpr double LargestNumber = 1e15;
constexpr std::string_view Blanks = " \t\r";

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const char *end = text.data() + text.size();
    const auto [read, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && read == end;
}

bool isIp(const std::string &text)
{
    in_addr number{};
    return inet_pton(AF_INET, text.c_str(), &number) == 1;
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    return colon != std::string::npos && isIp(text.substr(0, colon))
        && parseNumber(std::string_view(text).substr(colon + 1), port) && port > 0 && port <= MaxPort;
}

/// @brief Values of a settings file by name, and every mistake found in them.
class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
    {
        std::size_t lineNumber = 0;
        for (std::size_t begin = 0; begin < text.size();) {
            const std::size_t end = std::min(text.find('\n', begin), text.size());
            readLine(trimmed(std::string_view(text).substr(begin, end - begin), Blanks), ++lineNumber);
            begin = end + 1;
        }
    }

    void need(const std::string &name)
    {
        if (!m_values.contains(name)) {
            addMistake(ResultCode::SettingMissing, name + " is required");
        }
    }

    void read(const std::string &name, std::string &value) const
    {
        const auto found = m_values.find(name);
        if (found != m_values.end()) {
            value = found->second;
        }
    }

    void readIp(const std::string &name, std::string &value)
    {
        read(name, value);
        if (!value.empty() && !isIp(value)) {
            addInvalid(name, "an IPv4 address");
        }
    }

    void readAddress(const std::string &name, std::string &value)
    {
        read(name, value);
        if (!value.empty() && !isAddress(value)) {
            addInvalid(name, "an IPv4 address and a port");
        }
    }

    void read(const std::string &name, bool &value)
    {
        const auto found = m_values.find(name);
        if (found == m_values.end()) {
            return;
        }
        value = found->second == "true";
        if (!value && found->second != "false") {
            addInvalid(name, "true or false");
        }
    }

    void read(const std::string &name, double &value, double least = 0)
    {
        const auto found = m_values.find(name);
        if (found == m_values.end()) {
            return;
        }
        double number = 0;
        if (parseNumber(found->second, number) && number >= least && number <= LargestNumber) {
            value = number;
        } else {
            addInvalid(name, "a number that is not less than " + std::to_string(least));
        }
    }

    template <typename Whole>
    void readWhole(const std::string &name, Whole &value)
    {
        constexpr double Largest = std::min(LargestNumber, static_cast<double>(std::numeric_limits<Whole>::max()));
        const auto found = m_values.find(name);
        if (found == m_values.end()) {
            return;
        }
        double number = -1;
        if (parseNumber(found->second, number) && number >= 0 && number <= Largest && number == std::floor(number)) {
            value = static_cast<Whole>(number);
        } else {
            addInvalid(name, "a whole number that is not negative or too large");
        }
    }

    void readMilliseconds(const std::string &name, Duration &value, Duration least = {})
    {
        readDuration(name, MillisecondsPerSecond, value, least);
    }

    void readSeconds(const std::string &name, Duration &value, Duration least = {})
    {
        readDuration(name, 1, value, least);
    }

    void addInvalid(const std::string &name, const std::string &expected)
    {
        addMistake(ResultCode::SettingInvalid, name + ": expected " + expected + ", not '" + m_values[name] + "'");
    }

    void addMistake(ResultCode code, std::string message)
    {
        m_mistakes.push_back(Error{code, std::move(message)});
    }

    const std::vector<Error> &mistakes() const
    {
        return m_mistakes;
    }

private:
    void readLine(std::string_view line, std::size_t number)
    {
        if (line.empty() || line.front() == '#') {
            return;
        }
        const std::size_t equals = line.find('=');
        const std::string name(trimmed(line.substr(0, equals), Blanks));
        if (equals == std::string_view::npos || name.empty()) {
            addMistake(ResultCode::SettingInvalid,
                       "line " + std::to_string(number) + ": expected name = value, not '" + std::string(line) + "'");
            return;
        }
        const std::string value(trimmed(line.substr(equals + 1), Blanks));
        if (!value.empty() && !m_values.try_emplace(name, value).second) {
            addMistake(ResultCode::SettingConflict, name + " is given twice");
        }
    }

    void readDuration(const std::string &name, double unitsPerSecond, Duration &value, Duration least)
    {
        const auto found = m_values.find(name);
        if (found == m_values.end()) {
            return;
        }
        double units = -1;
        const bool number = parseNumber(found->second, units);
        if (number && units >= 0 && units / unitsPerSecond <= LongestSeconds
            && fromSeconds(units / unitsPerSecond) >= least) {
            value = fromSeconds(units / unitsPerSecond);
        } else {
            addInvalid(name, "a time of at most a day that is not negative or too short");
        }
    }

    std::map<std::string, std::string> m_values;
    std::vector<Error> m_mistakes;
};

void readBounds(SettingsFile &file, ServingBounds &bounds)
{
    constexpr Duration LeastRevocation = std::chrono::milliseconds(400);
    file.readMilliseconds("key-revocation-ms", bounds.keyRevocation, LeastRevocation);
    file.readMilliseconds("state-apply-ms", bounds.stateApply);
    file.readMilliseconds("drain-ms", bounds.drain);
    file.readSeconds("max-target-pause-s", bounds.maxTargetPause);
    file.readSeconds("stop-grace-s", bounds.stopGrace);
    file.readSeconds("address-reuse-s", bounds.addressReuse);
    file.read("retry-ratio", bounds.retryRatio);
    file.readSeconds("retry-window-s", bounds.retryWindow);
    file.read("retry-slack", bounds.retrySlack);
    file.readSeconds("quota-window-s", bounds.quotaWindow);
    file.read("quota-overage", bounds.quotaOverage);
    file.read("quota-slack", bounds.quotaSlack);
    file.read("allowance-wait", bounds.allowanceWait);
    file.readMilliseconds("ranked-gap-ms", bounds.rankedGap);
    file.readSeconds("load-window-s", bounds.loadWindow);
    file.read("load-overage", bounds.loadOverage);
    file.readMilliseconds("order-lease-ms", bounds.orderLease);
    file.readWhole("max-answer-kb", bounds.maxAnswerKb);
    file.readWhole("max-event-kb", bounds.maxEventKb);
    file.readWhole("max-answers-mb", bounds.maxAnswersMb);
    file.read("targets-check-fences", bounds.targetsCheckFences);
}

void checkAnswerBounds(SettingsFile &file, const NodeSettings &settings)
{
    constexpr std::uint64_t KbPerMb = 1'024;
    // The rest is for callers' connections and what each answer may always hold.
    constexpr std::uint32_t MemoryParts = 2;
    const ServingBounds &bounds = settings.bounds;
    if (bounds.maxAnswerKb == 0 || bounds.maxEventKb == 0) {
        file.addMistake(ResultCode::SettingInvalid, "max-answer-kb and max-event-kb must be above 0");
    }
    // Two answers of the largest size must find room, since an answer may take what is left of the total.
    if (std::max(bounds.maxAnswerKb, bounds.maxEventKb) * std::uint64_t{2} > bounds.maxAnswersMb * KbPerMb) {
        file.addMistake(ResultCode::SettingConflict,
                        "max-answers-mb must be at least twice max-answer-kb and max-event-kb");
    }
    if (settings.role == NodeRole::Entry && settings.memoryLimitMb > 0
        && bounds.maxAnswersMb > settings.memoryLimitMb / MemoryParts) {
        file.addMistake(ResultCode::SettingConflict, "max-answers-mb is above half of memory-limit-mb");
    }
}

void checkHeldBytes(SettingsFile &file, const NodeSettings &settings)
{
    if (settings.role == NodeRole::Entry && settings.memoryLimitMb > 0
        && settings.maxHeldMb > settings.memoryLimitMb / 2) {
        file.addMistake(ResultCode::SettingConflict, "max-held-mb is above half of memory-limit-mb");
    }
}

void readPeerPorts(SettingsFile &file, NodeSettings &settings)
{
    file.need("peer-port-first");
    file.need("peer-port-last");
    file.readWhole("peer-port-first", settings.firstPeerPort);
    file.readWhole("peer-port-last", settings.lastPeerPort);
    if (settings.firstPeerPort > settings.lastPeerPort) {
        file.addMistake(ResultCode::SettingConflict, "peer-port-first is above peer-port-last");
    }
}

void readRole(SettingsFile &file, NodeSettings &settings)
{
    std::string role;
    file.need("role");
    file.read("role", role);
    settings.role = role == "agent" ? NodeRole::Agent : NodeRole::Entry;
    if (!role.empty() && role != "agent" && role != "entry") {
        file.addInvalid("role", "entry or agent");
    }
    if (settings.role == NodeRole::Agent) {
        file.need("target-address");
    } else {
        file.need("listen-address");
        file.need("readiness-address");
    }
}

void readPlace(SettingsFile &file, NodeSettings &settings)
{
    for (const char *name : {"name", "ip", "store-address"}) {
        file.need(name);
    }
    file.read("name", settings.name);
    file.readIp("ip", settings.ip);
    file.read("domain", settings.domain);
    file.readAddress("listen-address", settings.listenAddress);
    file.readAddress("readiness-address", settings.readinessAddress);
    file.readAddress("store-address", settings.storeAddress);
    file.readAddress("target-address", settings.targetAddress);
    file.read("pool", settings.pool);
    file.read("first-start", settings.firstStart);
}

void readLimits(SettingsFile &file, NodeSettings &settings)
{
    constexpr Duration LeastHeartbeat = std::chrono::milliseconds(1);
    constexpr double LeastShare = 0.001;
    file.readWhole("memory-limit-mb", settings.memoryLimitMb);
    file.readWhole("max-descriptors", settings.maxDescriptors);
    file.readWhole("max-held-mb", settings.maxHeldMb);
    file.read("cpu-share", settings.cpuShare, LeastShare);
    file.readMilliseconds("heartbeat-ms", settings.heartbeat, LeastHeartbeat);
}

Error together(const std::vector<Error> &mistakes)
{
    Error error{mistakes.front().code, std::string()};
    for (const Error &mistake : mistakes) {
        error.message += (error.message.empty() ? "" : "; ") + toString(mistake);
    }
    return error;
}

NodeSettings readAll(SettingsFile &file)
{
    NodeSettings settings;
    readRole(file, settings);
    readPlace(file, settings);
    readPeerPorts(file, settings);
    readLimits(file, settings);
    readBounds(file, settings.bounds);
    checkAnswerBounds(file, settings);
    checkHeldBytes(file, settings);
    return settings;
}

} // namespace

Result<NodeSettings> readNodeSettings(const std::string &text)
{
    SettingsFile file(text);
    NodeSettings settings = readAll(file);
    if (!file.mistakes().empty()) {
        return fail(together(file.mistakes()));
    }
    return settings;
}

std::vector<Error> findMistakes(const std::string &text)
{
    SettingsFile file(text);
    readAll(file);
    return file.mistakes();
}

} // namespace celeryroute
