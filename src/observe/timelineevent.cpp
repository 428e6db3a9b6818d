#include <celeryroute/detail/observe/timelineevent.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

using Json = nlohmann::json;

void putText(Json &line, const char *name, const std::string &value)
{
    if (!value.empty()) {
        line[name] = value;
    }
}

std::string textOf(const Json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

template <typename Number>
Number numberOf(const Json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_number() ? found->get<Number>() : Number();
}

} // namespace

std::string toJsonLine(const TimelineEvent &event)
{
    Json line = {
        {"kind", event.kind},
        {"instance", event.instance},
        {"logical_time", event.logicalTime},
        {"sequence", event.sequence},
        {"wall_time_ms", event.wallTimeMs},
    };
    putText(line, "request", event.requestId);
    putText(line, "attempt", event.attemptId);
    putText(line, "customer", event.customer);
    putText(line, "route", event.route);
    putText(line, "model", event.model);
    putText(line, "host", event.host);
    putText(line, "detail", event.detail);
    if (event.code != 0) {
        line["code"] = event.code;
    }
    return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<TimelineEvent> timelineEventFromJson(const std::string &text)
{
    const Json line = Json::parse(text, nullptr, false);
    if (!line.is_object() || textOf(line, "kind").empty()) {
        return std::nullopt;
    }
    TimelineEvent event;
    event.kind = textOf(line, "kind");
    event.requestId = textOf(line, "request");
    event.attemptId = textOf(line, "attempt");
    event.customer = textOf(line, "customer");
    event.route = textOf(line, "route");
    event.model = textOf(line, "model");
    event.host = textOf(line, "host");
    event.detail = textOf(line, "detail");
    event.code = numberOf<int>(line, "code");
    event.instance = textOf(line, "instance");
    event.logicalTime = numberOf<std::uint64_t>(line, "logical_time");
    event.sequence = numberOf<std::uint64_t>(line, "sequence");
    event.wallTimeMs = numberOf<std::int64_t>(line, "wall_time_ms");
    return event;
}

} // namespace celeryroute
