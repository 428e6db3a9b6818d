#include <celeryroute/detail/cli/explainlog.h>

#include <algorithm>

namespace celeryroute {

namespace {

using Json = nlohmann::ordered_json;

bool hasHead(const Json &line)
{
    const auto holds = [&line](const char *name, auto check) {
        const auto found = line.find(name);
        return found != line.end() && check(*found);
    };
    const auto isNumber = [](const Json &value) { return value.is_number_integer(); };
    const auto isText = [](const Json &value) { return value.is_string(); };
    return line.is_object() && holds("t", isNumber) && holds("m", isNumber) && holds("inc", isNumber)
        && holds("host", isText) && holds("role", isText) && holds("event", isText);
}

ExplainLine toLine(Json &&json)
{
    ExplainLine line;
    line.wallMs = json["t"].get<std::int64_t>();
    line.bootMs = json["m"].get<std::int64_t>();
    line.event = json["event"].get<std::string>();
    const auto request = json.find("request");
    if (request != json.end() && request->is_string()) {
        line.request = request->get<std::string>();
    }
    for (const char *name : {"t", "m", "host", "role", "inc", "event", "request"}) {
        json.erase(name);
    }
    line.fields = std::move(json);
    return line;
}

} // namespace

void ExplainLog::read(std::istream &in)
{
    for (std::string text; std::getline(in, text);) {
        ++m_lines;
        m_skipped += add(text) ? 0 : 1;
    }
}

std::vector<ExplainProcess> ExplainLog::takeProcesses()
{
    std::ranges::sort(m_processes, {}, &ExplainProcess::identity);
    for (ExplainProcess &process : m_processes) {
        std::ranges::stable_sort(process.lines, {}, &ExplainLine::bootMs);
    }
    return std::move(m_processes);
}

bool ExplainLog::add(const std::string &text)
{
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !hasHead(json)) {
        return false;
    }
    ExplainProcess &owner = process(json);
    owner.lines.push_back(toLine(std::move(json)));
    return true;
}

ExplainProcess &ExplainLog::process(const Json &line)
{
    const auto host = line["host"].get<std::string>();
    const auto role = line["role"].get<std::string>();
    const auto incarnation = line["inc"].get<std::uint64_t>();
    const auto isIt = [&](const ExplainProcess &process) {
        return process.incarnation == incarnation && process.host == host && process.role == role;
    };
    // Lines of one process mostly follow each other.
    if (m_lastUsed < m_processes.size() && isIt(m_processes[m_lastUsed])) {
        return m_processes[m_lastUsed];
    }
    const auto found = std::ranges::find_if(m_processes, isIt);
    m_lastUsed = static_cast<std::size_t>(found - m_processes.begin());
    if (found == m_processes.end()) {
        m_processes.push_back({host, role, incarnation, {}});
    }
    return m_processes[m_lastUsed];
}

} // namespace celeryroute
