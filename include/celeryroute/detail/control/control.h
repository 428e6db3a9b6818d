#pragma once

#include <celeryroute/detail/control/controlsettings.h>
#include <celeryroute/detail/observe/observers.h>
#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/detail/state/recordresult.h>
#include <celeryroute/detail/state/statestore.h>

#include <functional>
#include <memory>
#include <vector>

namespace celeryroute {

class TransportContext;

/// What the control thread tells the rest of the process; called on the control thread.
struct ControlHooks {
    std::function<void(const std::vector<HostEntry> &hosts)> hostsChanged;
    std::function<void()> stateChanged;
    std::function<void(TimePoint now)> tick; ///< About every 100 ms.
};

/// Receives the end of a record's way into the log, on the control thread.
using VerdictHandler = std::function<void(const RecordResult &verdict)>;

/// @brief The control thread of a process: follows the log and the host list.
class Control
{
public:
    /// @brief @p store, @p context and @p observers outlive the control thread.
    Control(ControlSettings settings, StateStore &store, TransportContext &context, Observers observers);
    ~Control();
    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    void start(ControlHooks hooks);
    void stop();

    /// @brief Has @p record appended; any thread.
    void submit(proto::LogRecord record, VerdictHandler handler = nullptr);
    /// @brief The process @p sender has folded the log up to @p offset; any thread.
    void peerOffset(const std::string &sender, std::uint64_t offset);
    /// @brief A host of @p domain answered a heartbeat sent at @p sentAt; any thread.
    void heardFrom(const std::string &domain, TimePoint sentAt);
    /// @brief Failure domains that this process keeps links to; any thread.
    void setLinkedDomains(std::set<std::string> domains);
    /// @brief Records or state for a peer that lags; any thread.
    proto::StateReply answer(const proto::StateQuery &query) const;
    /// @brief Whether there is a state to serve from; any thread.
    bool isReady() const;
    /// @brief Whether the log answered lately; any thread.
    bool isLogReachable() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
