#pragma once

#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/net/eventloop.h>

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace celeryroute {

/// Decides when each target's agent hears what this entry has there and wants.
///
/// Wants go out at the end of the turn and again until they are met; what is in flight goes out a
/// little later, so that many changes make one message; a heartbeat keeps the agent telling its state.
class DemandSender
{
public:
    /// @brief Sends the present demand; returns whether wants are open.
    using Send = std::function<bool(const std::string &target)>;

    DemandSender(EventLoop &loop, Send send);
    ~DemandSender();
    DemandSender(const DemandSender &) = delete;
    DemandSender &operator=(const DemandSender &) = delete;

    void add(const std::string &target);
    void remove(const std::string &target);
    void changed(const std::string &target, bool urgent);

private:
    void sendUrgent();
    void schedule(TimePoint when);
    void work();
    void sendTo(const std::string &target);
    void setDue(const std::string &target, TimePoint due);

    EventLoop &m_loop;
    Send m_send;
    std::unordered_map<std::string, TimePoint> m_due; ///< Next message, by target.
    std::set<std::pair<TimePoint, std::string>> m_inOrder; ///< The same by time, so that only due ones are looked at.
    std::set<std::string> m_urgent;
    EventLoop::TimerId m_timer = 0;
    TimePoint m_timerAt;
};

} // namespace celeryroute
