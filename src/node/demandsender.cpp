#include <celeryroute/detail/node/demandsender.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration Heartbeat = std::chrono::milliseconds(900);
constexpr Duration ChangeDelay = std::chrono::milliseconds(150);
constexpr Duration DemandRepeatInterval = std::chrono::milliseconds(60);

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
    if (!m_due.contains(target)) {
        setDue(target, m_loop.now());
    }
}

void DemandSender::remove(const std::string &target)
{
    const auto found = m_due.find(target);
    if (found != m_due.end()) {
        m_inOrder.erase({found->second, target});
        m_due.erase(found);
    }
}

void DemandSender::setDue(const std::string &target, TimePoint due)
{
    const auto [found, added] = m_due.try_emplace(target, due);
    if (!added) {
        m_inOrder.erase({found->second, target});
        found->second = due;
    }
    m_inOrder.emplace(due, target);
    schedule(due);
}

void DemandSender::changed(const std::string &target, bool urgent)
{
    const auto found = m_due.find(target);
    if (found == m_due.end()) {
        return;
    }
    if (!urgent) {
        setDue(target, std::min(found->second, m_loop.now() + ChangeDelay));
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
    if (m_due.contains(target)) {
        setDue(target, m_loop.now() + (m_send(target) ? DemandRepeatInterval : Heartbeat));
    }
}

void DemandSender::schedule(TimePoint when)
{
    if (m_timer != 0 && m_timerAt <= when) {
        return;
    }
    m_loop.cancel(m_timer);
    m_timerAt = when;
    m_timer = m_loop.at(when, [this] { sendDue(); });
}

// Heartbeats that are due soon are sent as well, so that one wake-up serves several of them.
void DemandSender::sendDue()
{
    m_timer = 0;
    constexpr Duration CoalescingWindow = std::chrono::milliseconds(20);
    std::vector<std::string> targets;
    auto due = m_inOrder.begin();
    for (; due != m_inOrder.end() && due->first <= m_loop.now() + CoalescingWindow; ++due) {
        targets.push_back(due->second);
    }
    if (due != m_inOrder.end()) {
        schedule(due->first);
    }
    for (const std::string &target : targets) {
        sendTo(target);
    }
}

} // namespace celeryroute
