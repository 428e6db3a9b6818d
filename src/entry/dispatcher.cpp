#include <celeryroute/detail/entry/dispatcher.h>

#include "callrunner.h"
#include <celeryroute/detail/base/wakeup.h>
#include <celeryroute/detail/entry/divisionplanner.h>

#include <celeryroute/detail/base/mailbox.h>
#include <celeryroute/detail/transport/peerserver.h>

#include <peer.pb.h>

#include <algorithm>
#include <atomic>
#include <limits>
#include <thread>
#include <variant>
#include <zmq.h>

namespace celeryroute {

namespace {

constexpr long PollIntervalMs = 20;
constexpr long ClaimPollIntervalMs = 2;

struct NewCall {
    CallerCall call;
    std::shared_ptr<HttpResponder> responder;
};
struct CallerGone {
    std::string requestId;
};
struct NewHosts {
    std::vector<HostEntry> hosts;
};
struct RefuseNew {};
struct RecordSettled {
    std::string recordId;
    BatchOutcome fate = BatchOutcome::InDoubt;
    std::uint64_t offset = 0;
};
using Command = std::variant<NewCall, CallerGone, NewHosts, RefuseNew, RecordSettled>;

} // namespace

class Dispatcher::Private
{
public:
    Private(DispatcherSettings newSettings, TransportContext &context, DispatcherHooks newHooks, Observers observers)
        : settings(std::move(newSettings))
        , hooks(std::move(newHooks))
        , observers(observers)
        , server(context)
        , directory(context, settings.link, settings.host)
        , runner(settings, directory, observers)
        , divisionPlanner(settings.instance, DivisionTimes{})
        , commands([this] { wakeUp.signal(); })
    {}

    void run()
    {
        while (!stopping) {
            waitForWork();
            const TimePoint now = MonotonicClock::now();
            runner.setState(hooks.state(), now);
            runner.confirmState(hooks.confirmedAt());
            takeCommands(now);
            receiveFromAgents(now);
            answerPeers(now);
            tickLinks(now);
            closeUnlistedLinks(now);
            planDivision(now);
            runner.claims().setLogReachable(hooks.logReachable && hooks.logReachable());
            runner.tick(now);
            submitClaims(now);
            publish(now);
        }
        runner.refuseAll({ResultCode::Stopping, "this entry has stopped"}, MonotonicClock::now());
        flights = 0;
    }

    void waitForWork()
    {
        std::vector<zmq_pollitem_t> items;
        items.reserve(directory.links().size() + 2);
        items.push_back({nullptr, wakeUp.fd(), ZMQ_POLLIN, 0});
        items.push_back({server.socket(), 0, ZMQ_POLLIN, 0});
        for (const auto &[host, link] : directory.links()) {
            items.push_back({link->peer().socket(), 0, ZMQ_POLLIN, 0});
        }
        zmq_poll(items.data(),
                 static_cast<int>(items.size()),
                 runner.claims().isBusy() ? ClaimPollIntervalMs : PollIntervalMs);
        wakeUp.clear();
    }

    void takeCommands(TimePoint now)
    {
        for (Command &command : commands.take()) {
            std::visit([this, now](auto &value) { apply(value, now); }, command);
        }
    }

    void apply(NewCall &command, TimePoint now)
    {
        runner.start(std::move(command.call), std::move(command.responder), now);
    }

    void apply(const CallerGone &command, TimePoint now)
    {
        runner.callerGone(command.requestId, now);
    }

    void apply(const NewHosts &command, TimePoint now)
    {
        for (const std::string &host : directory.update(command.hosts, runner.hostsInUse(), now)) {
            runner.hostLost(host, now);
        }
        runner.linksChanged(now);
        std::set<std::string> newDomains;
        for (const auto &[name, link] : directory.links()) {
            newDomains.insert(link->host().domain);
        }
        absl::MutexLock lock(&domainsMutex);
        domains = std::move(newDomains);
    }

    void apply(const RefuseNew &, TimePoint now)
    {
        stoppingSoon = true;
        runner.setRefusingNew(now);
    }

    void apply(const RecordSettled &command, TimePoint now)
    {
        runner.claims().settled(command.recordId, command.fate, command.offset, now);
    }

    void submitClaims(TimePoint now)
    {
        for (proto::LogRecord &record : runner.claims().takeRecords(now)) {
            const std::string id = record.id();
            hooks.submitRecord(std::move(record), [this, id](BatchOutcome fate, std::uint64_t offset) {
                commands.post(RecordSettled{id, fate, offset});
            });
        }
    }

    void receiveFromAgents(TimePoint now)
    {
        for (const auto &[host, link] : directory.links()) {
            while (const auto envelope = link->receive(now)) {
                if (envelope->has_heartbeat_reply()) {
                    hooks.peerOffset(envelope->sender(), envelope->state_offset());
                    hooks.heardFrom(link->host().domain, link->answeredHeartbeatSentAt());
                }
                runner.receive(*link, *envelope, now);
            }
        }
    }

    void answerPeers(TimePoint now)
    {
        while (const auto message = server.receive()) {
            observers.timeline.observe(message->envelope->logical_time());
            if (runner.receiveFromEntry(*message->envelope, now)) {
                continue;
            }
            std::optional<proto::Envelope> reply = answerTo(*message->envelope);
            if (reply) {
                reply->set_call(message->envelope->call());
                stamp(*reply);
                server.send(message->connection, *reply);
            }
        }
    }

    std::optional<proto::Envelope> answerTo(const proto::Envelope &message)
    {
        if (!message.has_heartbeat()) {
            return hooks.otherMessage(message);
        }
        hooks.peerOffset(message.sender(), message.state_offset());
        proto::Envelope reply;
        reply.mutable_heartbeat_reply()->set_sequence(message.heartbeat().sequence());
        reply.mutable_heartbeat_reply()->set_host(settings.host);
        reply.mutable_heartbeat_reply()->set_leaving(stoppingSoon);
        return reply;
    }

    // The maximum age represents a state that was never confirmed as current.
    std::uint32_t confirmedAgeMs(TimePoint now) const
    {
        constexpr std::uint32_t Never = std::numeric_limits<std::uint32_t>::max();
        const TimePoint confirmed = hooks.confirmedAt();
        if (confirmed == TimePoint::min()) {
            return Never;
        }
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(toMilliseconds(now - confirmed), 0, Never));
    }

    void stamp(proto::Envelope &envelope)
    {
        envelope.set_sender(settings.instance);
        envelope.set_state_offset(hooks.state()->nextOffset());
        envelope.set_logical_time(observers.timeline.stamp());
    }

    void tickLinks(TimePoint now)
    {
        for (const auto &[host, link] : directory.links()) {
            const LinkAction step = link->tick(now);
            if (step == LinkAction::None) {
                continue;
            }
            sendHeartbeat(*link);
            if (step == LinkAction::Reconnected) {
                runner.linkReconnected(*link);
            }
        }
    }

    void closeUnlistedLinks(TimePoint now)
    {
        if (directory.hasUnlisted() && directory.closeUnlisted(runner.hostsInUse())) {
            runner.linksChanged(now);
        }
    }

    void planDivision(TimePoint now)
    {
        std::set<std::string> entries;
        for (std::string &entry : directory.reachableEntries(now)) {
            entries.insert(std::move(entry));
        }
        if (!stoppingSoon) {
            entries.insert(settings.instance);
        }
        if (const auto division = divisionPlanner.propose(hooks.state()->shares(), entries, now)) {
            hooks.submitDivision(*division);
        }
    }

    void sendHeartbeat(HostLink &link)
    {
        proto::Envelope envelope;
        envelope.mutable_heartbeat()->set_sequence(link.heartbeatSequence());
        envelope.mutable_heartbeat()->set_confirmed_age_ms(confirmedAgeMs(MonotonicClock::now()));
        stamp(envelope);
        link.peer().send(envelope);
    }

    void publish(TimePoint now)
    {
        flights = runner.flights();
        heldShare = heldShare || runner.holdsShare(now);
        observers.metrics.setInFlight(static_cast<std::int64_t>(flights));
    }

    DispatcherSettings settings;
    DispatcherHooks hooks;
    Observers observers;
    PeerServer server;
    HostDirectory directory;
    CallRunner runner;
    DivisionPlanner divisionPlanner;
    bool stoppingSoon = false;
    WakeUp wakeUp;
    Mailbox<Command> commands;
    std::atomic<std::size_t> flights{0};
    std::atomic<bool> heldShare{false};
    std::atomic<bool> stopping{false};
    mutable absl::Mutex domainsMutex;
    std::set<std::string> domains ABSL_GUARDED_BY(domainsMutex);
    std::thread thread;
};

Dispatcher::Dispatcher(DispatcherSettings settings,
                       TransportContext &context,
                       DispatcherHooks hooks,
                       Observers observers)
    : m_private(std::make_unique<Private>(std::move(settings), context, std::move(hooks), observers))
{}

Dispatcher::~Dispatcher()
{
    stop();
}

Result<void> Dispatcher::start()
{
    BOOST_LEAF_CHECK(m_private->server.bind(m_private->settings.peerEndpoint));
    m_private->thread = std::thread([this] { m_private->run(); });
    return {};
}

std::string Dispatcher::endpoint() const
{
    return m_private->server.endpoint();
}

void Dispatcher::submit(CallerCall call, std::shared_ptr<HttpResponder> responder)
{
    const std::string requestId = call.requestId;
    responder->onClosed([this, requestId] { m_private->commands.post(CallerGone{requestId}); });
    m_private->commands.post(NewCall{std::move(call), std::move(responder)});
}

void Dispatcher::setHosts(std::vector<HostEntry> hosts)
{
    m_private->commands.post(NewHosts{std::move(hosts)});
}

void Dispatcher::stateChanged()
{
    m_private->wakeUp.signal();
}

void Dispatcher::refuseNew()
{
    m_private->commands.post(RefuseNew{});
}

std::size_t Dispatcher::flights() const
{
    return m_private->flights;
}

bool Dispatcher::hasHeldShare() const
{
    return m_private->heldShare;
}

std::set<std::string> Dispatcher::linkedDomains() const
{
    absl::MutexLock lock(&m_private->domainsMutex);
    return m_private->domains;
}

void Dispatcher::stop()
{
    m_private->stopping = true;
    m_private->wakeUp.signal();
    if (m_private->thread.joinable()) {
        m_private->thread.join();
    }
}

} // namespace celeryroute
