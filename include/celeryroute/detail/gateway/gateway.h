#pragma once

#include <celeryroute/detail/gateway/admissioncontrol.h>
#include <celeryroute/detail/gateway/call.h>
#include <celeryroute/detail/gateway/crashsuspects.h>
#include <celeryroute/detail/gateway/routetable.h>
#include <celeryroute/detail/http1/callerserver.h>
#include <celeryroute/detail/http1/targetchannels.h>
#include <celeryroute/detail/placement/callqueue.h>
#include <celeryroute/detail/placement/enginechooser.h>
#include <celeryroute/detail/placement/plainchooser.h>
#include <celeryroute/detail/placement/targettable.h>
#include <celeryroute/detail/serving/headernames.h>
#include <celeryroute/detail/telemetry/decisionlog.h>
#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace celeryroute {

/// Takes callers' requests and carries each to its one final answer.
class Gateway final : private CallerHandler
{
public:
    /// What the gateway works with; all outlive it.
    struct Parts {
        EventLoop &loop;
        const HeaderNames &names;
        TargetTable &book;
        AdmissionControl &admission;
        DecisionLog &log;
        ServingMetrics &metrics;
    };

    /// @brief A target's agent should hear what this entry has there and wants.
    using DemandChanged = std::function<void(const std::string &target, bool urgent)>;

    Gateway(const Parts &parts, std::uint64_t seed, DemandChanged demandChanged);
    ~Gateway() override;

    Result<void> listen(const Endpoint &endpoint);

    /// @brief @p next tells the number of the next message to other processes; for the log.
    void useMessageNumbers(std::function<std::uint64_t()> next);
    std::optional<std::uint64_t> nextMessage() const;

    /// @brief Puts @p state in force.
    void setState(const ServingStatePtr &state);
    /// @brief Calls that wait for one of @p models may go on.
    void targetsChanged(const ChangedModels &models);

    /// @brief Closes each connection after its next answer.
    void beginStop();
    /// @brief Takes no new connections and closes those that wait for nothing; what is in work goes on.
    void stopAccepting();
    /// @brief Answers calls that wait, so that their callers go elsewhere in time.
    void giveUpWaiting();
    /// @brief Gives every call its final answer now.
    void endCalls();
    std::size_t callsInWork() const
    {
        return m_calls.size();
    }
    /// @brief Calls in work that were not sent yet, or not again.
    std::size_t callsWaiting() const
    {
        return m_queue.size();
    }
    std::size_t targetConnections() const
    {
        return m_channels.size();
    }
    std::size_t callersConnected() const
    {
        return m_server.connections();
    }

    EventLoop &loop()
    {
        return m_parts.loop;
    }
    const HeaderNames &names() const
    {
        return m_parts.names;
    }
    TargetTable &book()
    {
        return m_parts.book;
    }
    AdmissionControl &admission()
    {
        return m_parts.admission;
    }
    DecisionLog &log()
    {
        return m_parts.log;
    }
    ServingMetrics &metrics()
    {
        return m_parts.metrics;
    }
    TargetChannels &channels()
    {
        return m_channels;
    }
    PlainChooser &plainChooser()
    {
        return m_plainChooser;
    }
    EngineChooser &engineChooser()
    {
        return m_engineChooser;
    }
    CallQueue &queue()
    {
        return m_queue;
    }
    CrashSuspects &suspects()
    {
        return m_suspects;
    }
    /// @brief The desired state in force; null before the first.
    const std::shared_ptr<const RouteTable> &table() const
    {
        return m_table;
    }

    /// @brief A call has begun to wait, or waits for something else.
    void waiting(const WaitingCall &call);
    void noteDemand(const std::string &target, bool urgent);
    /// @brief Asks for a further replica that no call waits for.
    void wantSpare(const LoadRequest &want);
    /// @brief A target has died; what had ended there without an answer is suspected of it.
    void targetDied(const std::string &target);
    /// @brief A send may have run and got no answer.
    void noteUnanswered(const LostSend &send);
    /// @brief What the agent of @p target is to be asked for.
    std::vector<DemandedItem> wantsAt(const std::string &target) const;
    /// @brief Removes @p call after this turn.
    void finished(Call &call);

private:
    void logSuspected(const CrashSuspects::Suspicion &suspicion, const std::string &target);
    void callerRequest(CallerConnection &connection, CallerRequest request) override;
    void callerLeft(CallerConnection &connection) override;
    void callerDrained(CallerConnection &connection) override;
    void requestRejected(int status) override;
    void connectionEnded(CallerConnection &connection) override;
    const CallerLimits &callerLimits() const override;
    bool stopping() const override
    {
        return m_stopping;
    }

    struct SpareWant {
        std::string item;
        TimePoint since;
    };

    void standingChanged(const HealthChange &change);
    void scheduleQueue();
    void workQueue();
    void reconsider(std::uint64_t call);

    Parts m_parts;
    DemandChanged m_demandChanged;
    std::function<std::uint64_t()> m_nextMessage;
    CallerServer m_server;
    TargetChannels m_channels;
    PlainChooser m_plainChooser;
    EngineChooser m_engineChooser;
    CallQueue m_queue;
    CrashSuspects m_suspects;
    std::shared_ptr<const RouteTable> m_table;
    CallerLimits m_limits;
    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
    std::map<CallerConnection *, Call *> m_callsByCaller;
    std::map<std::string, SpareWant> m_spares; ///< By target.
    EventLoop::TimerId m_queueTimer = 0;
    bool m_stopping = false;
};

} // namespace celeryroute
