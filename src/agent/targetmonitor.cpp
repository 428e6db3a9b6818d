#include <celeryroute/detail/agent/targetmonitor.h>
#include <celeryroute/detail/agent/targetrequest.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace celeryroute {

namespace {

double reportedSpeed(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("tokens_per_second") || !json["tokens_per_second"].is_number()) {
        return 0;
    }
    return json["tokens_per_second"].get<double>();
}

} // namespace

TargetMonitor::TargetMonitor(const AgentSettings &settings,
                             HttpMultiClient &client,
                             std::function<void(TargetCondition before, TargetCondition now)> onProbed)
    : m_settings(settings)
    , m_client(client)
    , m_onProbed(std::move(onProbed))
{}

void TargetMonitor::setKind(PoolKind kind)
{
    m_kind = kind;
}

void TargetMonitor::requestProbe()
{
    m_probeRequested = true;
}

void TargetMonitor::step(TimePoint now)
{
    if (!m_kind || m_probing || (!m_probeRequested && now < m_nextProbe)) {
        return;
    }
    m_nextProbe = now + m_settings.healthInterval;
    startProbe();
}

TargetCondition TargetMonitor::condition() const
{
    return m_condition;
}

bool TargetMonitor::usable() const
{
    return m_condition == TargetCondition::Alive || m_condition == TargetCondition::Unknown;
}

double TargetMonitor::tokensPerSecond() const
{
    return m_tokensPerSecond;
}

void TargetMonitor::startProbe()
{
    struct Answer {
        std::optional<int> status;
        std::string body;
    };
    m_probing = true;
    m_probeRequested = false;
    auto answer = std::make_shared<Answer>();
    HttpCallObserver observer;
    observer.onHead = [answer](int status, const HttpFields &) { answer->status = status; };
    observer.onData = [answer](const std::string &data) { answer->body += data; };
    observer.onEnd = [this, answer](const HttpCallEnd &end) { probeEnded(answer->status, answer->body, end); };
    m_client.start(targetProbeRequest(m_settings, *m_kind), std::move(observer));
}

void TargetMonitor::probeEnded(std::optional<int> status, const std::string &body, const HttpCallEnd &end)
{
    m_probing = false;
    const TargetCondition before = m_condition;
    if (status && !end.error) {
        m_condition = TargetCondition::Alive;
        m_tokensPerSecond = reportedSpeed(body);
    } else {
        m_condition = end.connected ? TargetCondition::Silent : TargetCondition::Dead;
    }
    m_onProbed(before, m_condition);
}

} // namespace celeryroute
