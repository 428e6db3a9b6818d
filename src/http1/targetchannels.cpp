#include <celeryroute/detail/http1/targetchannels.h>

#include <celeryroute/detail/net/sockets.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(2);

} // namespace

TargetChannels::TargetChannels(EventLoop &loop, TargetConnection::Conventions conventions)
    : m_loop(loop)
    , m_conventions(std::move(conventions))
{}

TargetChannels::~TargetChannels()
{
    m_loop.cancel(m_sweepTimer);
}

TargetConnection &TargetChannels::start(const Endpoint &endpoint, TargetRequest request, ExchangeUser &user)
{
    TargetConnection *connection = request.single ? nullptr : takeIdle(endpoint, request.id);
    if (connection == nullptr) {
        connection = &open(endpoint);
    }
    connection->start(std::move(request), user);
    return *connection;
}

TargetConnection *TargetChannels::takeIdle(const Endpoint &endpoint, const std::string &requestId)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return nullptr;
    }
    std::vector<TargetConnection *> &idle = found->second;
    for (std::size_t i = idle.size(); i-- > 0;) {
        TargetConnection *connection = idle[i];
        const bool usable = connection->usable(m_loop.now());
        if (usable && connection->hasRefused(requestId)) {
            continue;
        }
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (usable) {
            return connection;
        }
        discard(connection);
    }
    return nullptr;
}

TargetConnection &TargetChannels::open(const Endpoint &endpoint)
{
    ++m_opened;
    auto connection = std::make_unique<TargetConnection>(
        m_loop,
        endpoint,
        beginConnect(endpoint),
        m_conventions,
        [this](TargetConnection &idle) { becameIdle(idle); },
        [this](TargetConnection &finished) { ended(finished); });
    TargetConnection *address = connection.get();
    m_connections.emplace(address, std::move(connection));
    return *address;
}

void TargetChannels::becameIdle(TargetConnection &connection)
{
    m_idle[connection.endpoint()].push_back(&connection);
    scheduleSweep();
}

void TargetChannels::ended(TargetConnection &connection)
{
    const auto found = m_idle.find(connection.endpoint());
    if (found != m_idle.end()) {
        std::erase(found->second, &connection);
    }
    discard(&connection);
}

// Destroyed after this turn: the connection may be on the call stack. It leaves the map at once, since it
// may be discarded again before that, when a new connection can have its address.
void TargetChannels::discard(TargetConnection *connection)
{
    auto gone = m_connections.extract(connection);
    if (!gone.empty()) {
        m_loop.defer([kept = std::shared_ptr<TargetConnection>(std::move(gone.mapped()))] {});
    }
}

void TargetChannels::closeIdle(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return;
    }
    for (TargetConnection *connection : found->second) {
        discard(connection);
    }
    m_idle.erase(found);
}

void TargetChannels::scheduleSweep()
{
    if (m_sweepTimer == 0) {
        m_sweepTimer = m_loop.at(m_loop.now() + SweepInterval, [this] { sweep(); });
    }
}

void TargetChannels::sweep()
{
    m_sweepTimer = 0;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [this](TargetConnection *connection) {
            if (connection->expiry() > m_loop.now()) {
                return false;
            }
            discard(connection);
            return true;
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
    if (!m_idle.empty()) {
        scheduleSweep();
    }
}

} // namespace celeryroute
