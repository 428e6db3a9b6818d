#include <celeryroute/detail/control/control.h>

#include "hostwatcher.h"
#include "peerqueries.h"

#include <celeryroute/detail/base/mailbox.h>
#include <celeryroute/detail/base/wakeup.h>
#include <celeryroute/detail/observe/log.h>
#include <celeryroute/detail/platform/httplog.h>
#include <celeryroute/detail/platform/logworker.h>

#include <peer.pb.h>

#include <atomic>
#include <thread>
#include <variant>
#include <zmq.h>

namespace celeryroute {

namespace {

constexpr long TickIntervalMs = 100;

struct SubmitRecord {
    proto::LogRecord record;
    VerdictHandler handler;
};
struct PeerOffset {
    std::string sender;
    std::uint64_t offset = 0;
};
struct HeardFrom {
    std::string domain;
    TimePoint sentAt;
};
struct LinkedDomains {
    std::set<std::string> domains;
};
struct NewHosts {
    std::vector<HostEntry> hosts;
};
using Command = std::variant<SubmitRecord, PeerOffset, HeardFrom, LinkedDomains, NewHosts>;

} // namespace

class Control::Private
{
public:
    Private(ControlSettings newSettings, StateStore &store, TransportContext &context, Observers observers)
        : settings(std::move(newSettings))
        , store(store)
        , observers(observers)
        , queries(context)
        , commands([this] { wakeUp.signal(); })
        , logEvents([this] { wakeUp.signal(); })
        , follower(settings.follower, store, MonotonicClock::now())
    {}

    void run()
    {
        while (!stopping) {
            waitForWork();
            const TimePoint now = MonotonicClock::now();
            takeCommands(now);
            takeLogEvents(now);
            takePeerAnswers(now);
            carryOut(nextActions(now), now);
            deliverVerdicts();
            publish();
            tickIfDue(now);
        }
    }

    void waitForWork()
    {
        std::vector<zmq_pollitem_t> items{{nullptr, wakeUp.fd(), ZMQ_POLLIN, 0}};
        for (void *socket : queries.sockets()) {
            items.push_back({socket, 0, ZMQ_POLLIN, 0});
        }
        zmq_poll(items.data(), static_cast<int>(items.size()), TickIntervalMs);
        wakeUp.clear();
    }

    // Hooks may post commands, which end the next wait early, so ticks are spaced by the clock.
    void tickIfDue(TimePoint now)
    {
        if (now >= nextTick) {
            nextTick = now + std::chrono::milliseconds(TickIntervalMs);
            hooks.tick(now);
        }
    }

    void takeCommands(TimePoint now)
    {
        for (Command &command : commands.take()) {
            std::visit([this, now](auto &value) { apply(value, now); }, command);
        }
    }

    void apply(SubmitRecord &command, TimePoint)
    {
        if (command.handler) {
            handlers[command.record.id()] = std::move(command.handler);
        }
        absl::MutexLock lock(&followerMutex);
        follower.submit(command.record);
    }

    void apply(const PeerOffset &command, TimePoint now)
    {
        absl::MutexLock lock(&followerMutex);
        follower.setPeerOffset(command.sender, command.offset, now);
    }

    void apply(const HeardFrom &command, TimePoint)
    {
        absl::MutexLock lock(&followerMutex);
        follower.freshness().recordHeartbeat(command.domain, command.sentAt);
    }

    void apply(LinkedDomains &command, TimePoint)
    {
        absl::MutexLock lock(&followerMutex);
        follower.freshness().setLiveDomains(std::move(command.domains));
    }

    void apply(const NewHosts &command, TimePoint)
    {
        queries.setHosts(command.hosts);
        hooks.hostsChanged(command.hosts);
        absl::MutexLock lock(&followerMutex);
        follower.setFleetSize(command.hosts.size());
    }

    void takeLogEvents(TimePoint now)
    {
        for (const LogEvent &event : logEvents.take()) {
            absl::MutexLock lock(&followerMutex);
            std::visit([this, now](const auto &value) { follower.handle(value, now); }, event);
        }
    }

    void takePeerAnswers(TimePoint now)
    {
        for (const auto &answer : queries.takeAnswers(now)) {
            observers.timeline.observe(answer->logical_time());
            absl::MutexLock lock(&followerMutex);
            follower.setPeerOffset(answer->sender(), answer->state_offset(), now);
            if (answer->has_state_reply()) {
                follower.handle(answer->state_reply(), now);
            }
        }
    }

    std::vector<FollowerAction> nextActions(TimePoint now)
    {
        absl::MutexLock lock(&followerMutex);
        return follower.step(now);
    }

    void carryOut(const std::vector<FollowerAction> &actions, TimePoint now)
    {
        for (const FollowerAction &action : actions) {
            std::visit([this, now](const auto &value) { perform(value, now); }, action);
        }
    }

    void perform(const ReadLog &action, TimePoint)
    {
        worker->read(action.read);
    }

    void perform(const AppendToLog &action, TimePoint)
    {
        worker->append(action.recordId, action.bytes);
    }

    void perform(const QueryPeer &action, TimePoint now)
    {
        proto::Envelope question;
        question.set_sender(settings.instance);
        question.set_state_offset(store.state()->nextOffset());
        question.set_logical_time(observers.timeline.stamp());
        question.mutable_state_query()->set_from_offset(action.fromOffset);
        queries.ask(hostOfInstance(action.peer), question, now);
    }

    void deliverVerdicts()
    {
        for (const RecordResult &verdict : takeVerdicts()) {
            const auto found = handlers.find(verdict.recordId);
            if (found != handlers.end()) {
                const VerdictHandler handler = std::move(found->second);
                handlers.erase(found);
                handler(verdict);
            }
        }
    }

    std::vector<RecordResult> takeVerdicts()
    {
        absl::MutexLock lock(&followerMutex);
        return follower.takeResults();
    }

    void publish()
    {
        const bool reachable = updateFlags();
        observers.metrics.setLogReachable(reachable);
        const std::uint64_t offset = store.state()->nextOffset();
        if (offset != publishedOffset) {
            publishedOffset = offset;
            observers.metrics.setStateOffset(offset);
            hooks.stateChanged();
        }
    }

    bool updateFlags()
    {
        absl::MutexLock lock(&followerMutex);
        const bool reachable = follower.isLogReachable();
        if (reachable != logReachable) {
            writeLog(reachable ? LogLevel::Info : LogLevel::Warning,
                     reachable ? "the platform's log answers" : "the platform's log does not answer");
        }
        logReachable = reachable;
        ready = follower.isReady();
        return reachable;
    }

    ControlSettings settings;
    StateStore &store;
    Observers observers;
    ControlHooks hooks;
    WakeUp wakeUp;
    PeerQueries queries;
    Mailbox<Command> commands;
    Mailbox<LogEvent> logEvents;
    mutable absl::Mutex followerMutex;
    StateFollower follower ABSL_GUARDED_BY(followerMutex);
    std::map<std::string, VerdictHandler> handlers; ///< By record id.
    std::uint64_t publishedOffset = 0;
    TimePoint nextTick;
    std::atomic<bool> ready{false};
    std::atomic<bool> logReachable{false};
    std::atomic<bool> stopping{false};
    std::unique_ptr<LogWorker> worker;
    std::unique_ptr<HostWatcher> hostWatcher;
    std::thread thread;
};

Control::Control(ControlSettings settings, StateStore &store, TransportContext &context, Observers observers)
    : m_private(std::make_unique<Private>(std::move(settings), store, context, observers))
{}

Control::~Control()
{
    stop();
}

void Control::start(ControlHooks hooks)
{
    Private &d = *m_private;
    d.hooks = std::move(hooks);
    const ControlSettings &settings = d.settings;
    const auto newLogClient = [&settings] { return LogClient(HttpLog(settings.logUrl, settings.logTimeout)); };
    d.worker = std::make_unique<LogWorker>(newLogClient(), newLogClient(), d.logEvents);
    d.hostWatcher = std::make_unique<HostWatcher>(
        settings.hostsUrl,
        settings.hostsInterval,
        settings.hostsTimeout,
        [&d](std::vector<HostEntry> hosts) { d.commands.post(NewHosts{std::move(hosts)}); });
    d.thread = std::thread([&d] { d.run(); });
}

void Control::stop()
{
    m_private->stopping = true;
    m_private->wakeUp.signal();
    if (m_private->thread.joinable()) {
        m_private->thread.join();
    }
    m_private->hostWatcher.reset();
    m_private->worker.reset();
}

void Control::submit(proto::LogRecord record, VerdictHandler handler)
{
    m_private->commands.post(SubmitRecord{std::move(record), std::move(handler)});
}

void Control::peerOffset(const std::string &sender, std::uint64_t offset)
{
    m_private->commands.post(PeerOffset{sender, offset});
}

void Control::heardFrom(const std::string &domain, TimePoint sentAt)
{
    m_private->commands.post(HeardFrom{domain, sentAt});
}

void Control::setLinkedDomains(std::set<std::string> domains)
{
    m_private->commands.post(LinkedDomains{std::move(domains)});
}

proto::StateReply Control::answer(const proto::StateQuery &query) const
{
    absl::MutexLock lock(&m_private->followerMutex);
    return m_private->follower.answer(query);
}

bool Control::isReady() const
{
    return m_private->ready;
}

bool Control::isLogReachable() const
{
    return m_private->logReachable;
}

} // namespace celeryroute
