#include <standins/loadrunner.h>

#include <standins/generation.h>
#include <standins/streamprobe.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

using Json = nlohmann::json;

constexpr Duration PollInterval = std::chrono::milliseconds(100);
constexpr int StatusOk = 200;

std::string wholeText(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const Json::json_pointer content("/choices/0/message/content");
    return !json.is_discarded() && json.contains(content) ? json[content].get<std::string>() : std::string();
}

// Refusals of celeryroute carry a number; anything else of an error status counts as wrong.
int refusalCode(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const Json::json_pointer code("/error/code");
    return !json.is_discarded() && json.contains(code) && json[code].is_number() ? json[code].get<int>() : 0;
}

} // namespace

/// One call under way.
struct LoadRunner::Call {
    Call(const PlannedCall &plannedCall, bool isDirect, TimePoint now)
        : planned(plannedCall)
        , direct(isDirect)
        , probe(now)
    {}

    PlannedCall planned;
    bool direct = false;
    StreamProbe probe;
    int status = 0;
    std::string body;
};

LoadRunner::LoadRunner(const LoadSettings &settings)
    : m_settings(settings)
{}

LoadRunReport LoadRunner::run()
{
    const std::vector<PlannedCall> plan = planLoad(m_settings);
    const TimePoint start = MonotonicClock::now();
    std::size_t next = 0;
    while (next < plan.size() || m_client.running() > 0) {
        TimePoint now = MonotonicClock::now();
        while (next < plan.size() && start + plan[next].start <= now) {
            startRouted(plan[next]);
            if (!m_settings.directUrl.empty() && plan[next].kind != LoadKind::Booking) {
                startDirect(plan[next]);
            }
            ++next;
        }
        now = MonotonicClock::now();
        const Duration wait = next < plan.size() ? start + plan[next].start - now : PollInterval;
        m_client.poll(std::clamp(wait, Duration::zero(), PollInterval));
    }
    return m_report;
}

void LoadRunner::startRouted(const PlannedCall &planned)
{
    HttpCall httpCall = planned.kind == LoadKind::Booking ? bookingCall(planned)
                                                          : chatCall(planned, m_settings.entryUrls[planned.entry]);
    httpCall.headers["authorization"] = "Bearer " + m_settings.keys[planned.customer];
    start(std::make_shared<Call>(planned, false, MonotonicClock::now()), httpCall);
}

// Another text, as the engine would answer a repeated prompt from its prefix cache.
void LoadRunner::startDirect(const PlannedCall &planned)
{
    PlannedCall direct = planned;
    direct.text = "direct " + planned.text;
    const HttpCall httpCall = chatCall(direct, m_settings.directUrl);
    start(std::make_shared<Call>(direct, true, MonotonicClock::now()), httpCall);
}

void LoadRunner::start(const std::shared_ptr<Call> &call, const HttpCall &httpCall)
{
    HttpCallObserver observer;
    observer.onHead = [call](int status, const HttpFields & /*headers*/) { call->status = status; };
    observer.onData = [call](const std::string &data) {
        if (call->planned.kind == LoadKind::Stream && call->status == StatusOk) {
            call->probe.add(data, MonotonicClock::now());
        } else {
            call->body += data;
        }
    };
    observer.onEnd = [this, call](const HttpCallEnd &end) { finish(*call, end); };
    m_client.start(httpCall, std::move(observer));
}

void LoadRunner::finish(const Call &call, const HttpCallEnd &end)
{
    if (call.planned.start < m_settings.warmUp) {
        return;
    }
    if (call.direct) {
        count(call, end, m_report.directChats);
    } else {
        count(call, end, call.planned.kind == LoadKind::Booking ? m_report.bookings : m_report.chats);
        count(call, end, m_report.byCustomer[absl::StrCat("customer-", call.planned.customer)]);
    }
    if (call.planned.kind != LoadKind::Stream || !call.probe.complete()) {
        return;
    }
    LatencySamples &samples = call.direct ? m_report.direct : m_report.routed;
    samples.firstToken.push_back(call.probe.firstTokenTime().value_or(Duration::zero()));
    const std::vector<Duration> &gaps = call.probe.tokenGaps();
    samples.betweenTokens.insert(samples.betweenTokens.end(), gaps.begin(), gaps.end());
}

void LoadRunner::count(const Call &call, const HttpCallEnd &end, LoadCounts &counts) const
{
    ++counts.sent;
    const bool stream = call.planned.kind == LoadKind::Stream;
    if (end.error || (stream && call.status == StatusOk && !call.probe.complete())) {
        ++counts.unanswered;
        return;
    }
    if (call.status != StatusOk) {
        const int code = refusalCode(call.body);
        ++(code == 0 ? counts.wrong : counts.refused);
        ++counts.refusals[code];
        return;
    }
    const std::string expected = expectedAnswer(call.planned.model, call.planned.text, m_settings.maxTokens);
    const bool own = call.planned.kind == LoadKind::Booking
        || (stream ? call.probe.text() : wholeText(call.body)) == expected;
    ++(own ? counts.answered : counts.wrong);
}

HttpCall LoadRunner::chatCall(const PlannedCall &planned, const std::string &url) const
{
    const Json message = {{"role", "user"}, {"content", planned.text}};
    const Json body = {{"model", planned.model},
                       {"messages", Json::array({message})},
                       {"max_tokens", m_settings.maxTokens},
                       {"stream", planned.kind == LoadKind::Stream}};
    HttpCall call;
    call.method = "POST";
    call.url = url + "/v1/chat/completions";
    call.headers["content-type"] = "application/json";
    call.body = body.dump();
    call.totalTimeout = m_settings.callTimeout;
    return call;
}

HttpCall LoadRunner::bookingCall(const PlannedCall &planned) const
{
    HttpCall call;
    call.method = "POST";
    call.url = m_settings.entryUrls[planned.entry] + m_settings.servicePath;
    call.headers["content-type"] = "application/json";
    call.headers["idempotency-key"] = planned.text;
    call.body = Json{{"parcel", planned.text}}.dump();
    call.totalTimeout = m_settings.callTimeout;
    return call;
}

} // namespace celeryroute
