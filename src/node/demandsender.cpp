#include <celeryroute/detail/node/demandsender.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration Heartbeat = std::chrono::milliseconds(900);
constexpr Duration ChangeDelay = std::chrono::milliseconds(150);
constexpr Duration WantRepeat = std::chrono::milliseconds(60);

} // namespace

DemandSender::DemandSender(EventLoop &loop, Send send)
    : m_loop(loop)
    , m_send(std::move(send))
{}

DemandSender::~DemandSender()
{
    m_loop.cancel(m_timer);
}

void DemandSender::add(const std::string &target)
{
    if (m_due.emplace(target, m_loop.now()).second) {
        schedule(m_loop.now());
    }
}

void DemandSender::remove(const std::string &target)
{
    m_due.erase(target);
}

void DemandSender::changed(const std::string &target, bool urgent)
{
    const auto found = m_due.find(target);
    if (found == m_due.end()) {
        return;
    }
    if (!urgent) {
        found->second = std::min(found->second, m_loop.now() + ChangeDelay);
        schedule(found->second);
        return;
    }
    if (m_urgent.empty()) {
        m_loop.defer([this] { sendUrgent(); });
    }
    m_urgent.insert(target);
}

void DemandSender::sendUrgent()
{
    std::set<std::string> targets;
    targets.swap(m_urgent);
    for (const std::string &target : targets) {
        sendTo(target);
    }
}

void DemandSender::sendTo(const std::string &target)
{
    const auto found = m_due.find(target);
    if (found != m_due.end()) {
        found->second = m_loop.now() + (m_send(target) ? WantRepeat : Heartbeat);
        schedule(found->second);
    }
}

void DemandSender::schedule(TimePoint when)
{
    if (m_timer != 0 && m_timerAt <= when) {
        return;
    }
    m_loop.cancel(m_timer);
    m_timerAt = when;
    m_timer = m_loop.at(when, [this] { work(); });
}

// Heartbeats that are due soon go along, so that one wake-up serves them all.
void DemandSender::work()
{
    m_timer = 0;
    constexpr Duration Company = std::chrono::milliseconds(20);
    std::vector<std::string> targets;
    TimePoint next = TimePoint::max();
    for (const auto &[target, due] : m_due) {
        if (due <= m_loop.now() + Company) {
            targets.push_back(target);
        } else {
            next = std::min(next, due);
        }
    }
    if (next != TimePoint::max()) {
        schedule(next);
    }
    for (const std::string &target : targets) {
        sendTo(target);
    }
}

} // namespace celeryroute
