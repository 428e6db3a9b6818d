#include <celeryroute/detail/cli/observecommands.h>

#include <celeryroute/detail/cli/fleetquery.h>
#include <celeryroute/detail/observe/timelineview.h>
#include <celeryroute/detail/platform/hostlistclient.h>

#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>
#include <peer.pb.h>

#include <algorithm>
#include <optional>

namespace celeryroute {

namespace {

using Json = nlohmann::json;

std::optional<std::vector<HostEntry>> readHosts(const ObserveOptions &options, std::ostream &err)
{
    return handleErrors(
        [&]() -> Result<std::optional<std::vector<HostEntry>>> {
            HostListClient client{HttpHostList(options.hostsUrl, options.timeout)};
            BOOST_LEAF_AUTO(hosts, client.read());
            return std::optional(std::move(hosts));
        },
        [&](const Error &error) {
            err << toString(error) << "\n";
            return std::optional<std::vector<HostEntry>>();
        });
}

// Names the processes that did not answer, so that a gap is never mistaken for silence.
ExitCode reportMissing(const std::vector<FleetAnswer> &answers, std::ostream &err)
{
    ExitCode code = ExitCode::Ok;
    for (const FleetAnswer &answer : answers) {
        if (answer.answer == nullptr) {
            err << toString(Error{ResultCode::PeerUnreachable, answer.host.host + " does not answer"}) << "\n";
            code = ExitCode::Refused;
        }
    }
    return code;
}

std::string textOf(const Json &status, const char *name)
{
    const auto found = status.find(name);
    if (found == status.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string statusLine(const FleetAnswer &answer, const Json &status)
{
    const std::string role = answer.host.role == HostRole::Entry ? "entry" : "agent";
    const std::string state = answer.host.state == HostState::Live ? "live" : "leaving";
    return absl::StrFormat("%-20s %-6s %-12s %-18s %-8s %-10s %s\n",
                           answer.host.host,
                           role,
                           answer.host.domain,
                           answer.host.pool.empty() ? "-" : answer.host.pool,
                           state,
                           textOf(status, "state_offset"),
                           answer.answer == nullptr ? "no answer" : textOf(status, "instance"));
}

proto::Envelope timelineQuestion(const TimelineFilter &filter)
{
    proto::Envelope question;
    proto::TimelineQuery &query = *question.mutable_timeline_query();
    query.set_request_id(filter.requestId);
    query.set_customer(filter.customer);
    query.set_model(filter.model);
    query.set_limit(static_cast<std::uint32_t>(filter.limit));
    return question;
}

std::vector<TimelineEvent> eventsOf(const std::vector<FleetAnswer> &answers)
{
    std::vector<TimelineEvent> events;
    for (const FleetAnswer &answer : answers) {
        if (answer.answer == nullptr) {
            continue;
        }
        const std::string &lines = answer.answer->timeline_reply().json_lines();
        for (const std::string &line : std::vector<std::string>(absl::StrSplit(lines, '\n', absl::SkipEmpty()))) {
            if (auto event = timelineEventFromJson(line)) {
                events.push_back(std::move(*event));
            }
        }
    }
    return mergeTimelines(std::move(events));
}

} // namespace

ExitCode runStatus(const ObserveOptions &options, std::ostream &out, std::ostream &err)
{
    const auto hosts = readHosts(options, err);
    if (!hosts) {
        return ExitCode::Unreachable;
    }
    proto::Envelope question;
    question.mutable_status_query();
    const std::vector<FleetAnswer> answers = askFleet(*hosts, question, options.keys, options.timeout);
    Json all = Json::array();
    std::string table = absl::StrFormat("%-20s %-6s %-12s %-18s %-8s %-10s %s\n",
                                        "host",
                                        "role",
                                        "domain",
                                        "pool",
                                        "listed",
                                        "offset",
                                        "instance");
    for (const FleetAnswer &answer : answers) {
        Json status = Json::object();
        if (answer.answer != nullptr) {
            status = Json::parse(answer.answer->status_reply().json(), nullptr, false);
            status["state_offset"] = answer.answer->state_offset();
            status["instance"] = answer.answer->sender();
        }
        table += statusLine(answer, status);
        all.push_back({{"host", answer.host.host}, {"answered", answer.answer != nullptr}, {"status", status}});
    }
    out << (options.format == "json" ? all.dump() + "\n" : table);
    return reportMissing(answers, err);
}

ExitCode runTimeline(const ObserveOptions &options, std::ostream &out, std::ostream &err)
{
    const auto hosts = readHosts(options, err);
    if (!hosts) {
        return ExitCode::Unreachable;
    }
    const std::vector<FleetAnswer> answers = askFleet(*hosts,
                                                      timelineQuestion(options.filter),
                                                      options.keys,
                                                      options.timeout);
    std::vector<TimelineEvent> events = eventsOf(answers);
    events.erase(std::remove_if(events.begin(),
                                events.end(),
                                [&options](const TimelineEvent &event) { return !matches(options.filter, event); }),
                 events.end());
    if (options.format == "trace") {
        out << timelineTrace(events);
    } else {
        out << (options.format == "json" ? timelineJsonLines(events) : timelineTable(events));
    }
    return reportMissing(answers, err);
}

} // namespace celeryroute
