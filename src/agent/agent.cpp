#include <celeryroute/detail/agent/agent.h>
#include <celeryroute/detail/agent/agentloop.h>
#include <celeryroute/detail/agent/authoritycontrol.h>

#include <absl/synchronization/notification.h>

#include <atomic>
#include <thread>

namespace celeryroute {

namespace {

constexpr absl::Duration ControlInterval = absl::Milliseconds(100);

} // namespace

class Agent::Private
{
public:
    Private(AgentSettings settings, AgentHooks hooks, TransportContext &context)
        : settings(std::move(settings))
        , hooks(std::move(hooks))
        , loop(this->settings, this->hooks, context)
    {}

    void runControl()
    {
        while (!stopping.WaitForNotificationWithTimeout(ControlInterval)) {
            authority.step(loop.heldItems(), MonotonicClock::now());
        }
    }

    void stopControl()
    {
        if (!stopping.HasBeenNotified()) {
            stopping.Notify();
        }
    }

    AgentSettings settings;
    AgentHooks hooks;
    AgentLoop loop;
    AuthorityControl authority{settings, hooks};
    std::string endpoint;
    std::thread traffic;
    std::thread control;
    absl::Notification stopping;
    std::atomic<bool> finished = false;
};

Agent::Agent(AgentSettings settings, AgentHooks hooks, TransportContext &context)
    : m_private(std::make_unique<Private>(std::move(settings), std::move(hooks), context))
{}

Agent::~Agent()
{
    m_private->stopControl();
    if (m_private->control.joinable()) {
        m_private->control.join();
    }
    m_private->loop.abort();
    if (m_private->traffic.joinable()) {
        m_private->traffic.join();
    }
}

Result<void> Agent::start()
{
    BOOST_LEAF_CHECK(m_private->loop.bind());
    m_private->endpoint = m_private->loop.endpoint();
    m_private->traffic = std::thread([this] {
        m_private->loop.run();
        m_private->finished = true;
    });
    m_private->control = std::thread([this] { m_private->runControl(); });
    return {};
}

std::string Agent::endpoint() const
{
    return m_private->endpoint;
}

void Agent::setHosts(std::vector<HostEntry> hosts)
{
    m_private->authority.setHosts(std::move(hosts));
}

void Agent::requestStop()
{
    // An agent that is stopping must not propose further grants for itself.
    m_private->stopControl();
    m_private->loop.requestStop();
}

bool Agent::finished() const
{
    return m_private->finished;
}

std::string Agent::statusJson() const
{
    return m_private->loop.statusJson();
}

} // namespace celeryroute
