#include <celeryroute/detail/observe/timelineview.h>

#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

namespace celeryroute {

namespace {

constexpr std::size_t ShortIdLength = 8;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

std::string shortId(const std::string &id)
{
    return id.substr(0, ShortIdLength);
}

std::string subjectOf(const TimelineEvent &event)
{
    std::string subject = event.customer;
    for (const std::string &part : {event.route, event.model}) {
        if (!part.empty()) {
            subject += subject.empty() ? part : " " + part;
        }
    }
    return subject;
}

} // namespace

// Lamport time alone leaves unrelated events of equal time unordered; instance and sequence make the
// order total and keep each process's own order.
std::vector<TimelineEvent> mergeTimelines(std::vector<TimelineEvent> events)
{
    std::sort(events.begin(), events.end(), [](const TimelineEvent &left, const TimelineEvent &right) {
        return std::tie(left.logicalTime, left.instance, left.sequence)
            < std::tie(right.logicalTime, right.instance, right.sequence);
    });
    return events;
}

std::string timelineTable(const std::vector<TimelineEvent> &events)
{
    std::string table = absl::StrFormat("%8s  %-14s  %-10s  %-22s  %-8s  %-30s  %s\n",
                                        "logical",
                                        "wall clock",
                                        "host",
                                        "event",
                                        "request",
                                        "customer route model",
                                        "detail");
    for (const TimelineEvent &event : events) {
        const absl::Time wall = absl::FromUnixMillis(event.wallTimeMs);
        const std::string code = event.code == 0 ? std::string() : absl::StrFormat("[%d] ", event.code);
        table += absl::StrFormat("%8d  %-14s  %-10s  %-22s  %-8s  %-30s  %s%s\n",
                                 event.logicalTime,
                                 absl::FormatTime("%H:%M:%E3S", wall, absl::UTCTimeZone()),
                                 event.host,
                                 event.kind,
                                 shortId(event.requestId),
                                 subjectOf(event),
                                 code,
                                 event.detail);
    }
    return table;
}

std::string timelineJsonLines(const std::vector<TimelineEvent> &events)
{
    std::string lines;
    for (const TimelineEvent &event : events) {
        lines += toJsonLine(event) + "\n";
    }
    return lines;
}

std::string timelineTrace(const std::vector<TimelineEvent> &events)
{
    nlohmann::json traceEvents = nlohmann::json::array();
    std::map<std::string, int> processes;
    for (const TimelineEvent &event : events) {
        const auto [process, added] = processes.emplace(event.instance, static_cast<int>(processes.size()) + 1);
        if (added) {
            traceEvents.push_back({{"ph", "M"},
                                   {"name", "process_name"},
                                   {"pid", process->second},
                                   {"args", {{"name", event.host + " " + shortId(event.instance)}}}});
        }
        traceEvents.push_back({{"ph", "i"},
                               {"s", "p"},
                               {"name", event.kind},
                               {"pid", process->second},
                               {"tid", 1},
                               {"ts", event.wallTimeMs * MicrosecondsPerMillisecond},
                               {"args", nlohmann::json::parse(toJsonLine(event))}});
    }
    return nlohmann::json({{"traceEvents", traceEvents}}).dump() + "\n";
}

} // namespace celeryroute
