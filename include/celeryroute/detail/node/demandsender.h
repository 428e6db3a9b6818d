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

/// @brief Schedules the messages that tell each target's agent about this entry's demand.
///
/// Load demands are sent at the end of the event loop iteration and resent until they are met. Changes of the
/// requests in flight are sent after a short delay, so that one message covers many changes. A heartbeat makes
/// the agent continue to send its state to this entry.
class DemandSender
{
public:
    /// @brief Sends the current demand; returns whether some load demands are not met yet.
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
    void sendDue();
    void sendTo(const std::string &target);
    void setDue(const std::string &target, TimePoint due);

    EventLoop &m_loop;
    Send m_send;
    std::unordered_map<std::string, TimePoint> m_due; ///< Time of the next message, keyed by target.
    std::set<std::pair<TimePoint, std::string>>
        m_inOrder; ///< Entries of m_due sorted by time, so that only due ones are visited.
    std::set<std::string> m_urgent;
    EventLoop::TimerId m_timer = 0;
    TimePoint m_timerAt;
};

} // namespace celeryroute
