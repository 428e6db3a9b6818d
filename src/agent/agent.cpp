#include <celeryroute/detail/agent/agent.h>
#include <celeryroute/detail/agent/agentloop.h>

#include <atomic>
#include <thread>

namespace celeryroute {

class Agent::Private
{
public:
    Private(AgentSettings settings, AgentHooks hooks, TransportContext &context)
        : loop(std::move(settings), std::move(hooks), context)
    {}

    AgentLoop loop;
    std::string endpoint;
    std::thread traffic;
    std::atomic<bool> finished = false;
};

Agent::Agent(AgentSettings settings, AgentHooks hooks, TransportContext &context)
    : m_private(std::make_unique<Private>(std::move(settings), std::move(hooks), context))
{}

Agent::~Agent()
{
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
    return {};
}

std::string Agent::endpoint() const
{
    return m_private->endpoint;
}

void Agent::requestStop()
{
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
