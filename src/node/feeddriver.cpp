#include <celeryroute/detail/node/feeddriver.h>

#include <celeryroute/detail/net/clock.h>

namespace celeryroute {

namespace {

struct StoreCallKindOf {
    StoreCallKind operator()(const ReadNewest &) const
    {
        return StoreCallKind::ReadNewest;
    }
    StoreCallKind operator()(const ReadFrom &) const
    {
        return StoreCallKind::ReadFrom;
    }
    StoreCallKind operator()(const AppendRecord &) const
    {
        return StoreCallKind::Append;
    }
};

StoreCallOutcome outcomeOf(const FeedAnswer &answer)
{
    if (std::holds_alternative<RecordsExpired>(answer)) {
        return StoreCallOutcome::Expired;
    }
    if (const auto *unavailable = std::get_if<FeedUnavailable>(&answer)) {
        return unavailable->status == 0 ? StoreCallOutcome::Lost : StoreCallOutcome::Refused;
    }
    return StoreCallOutcome::Answered;
}

} // namespace

FeedDriver::FeedDriver(EventLoop &loop,
                       AsyncHttpClient &store,
                       const PlatformTranslation &translation,
                       ServingMetrics &metrics,
                       EraMonitor &era,
                       StoreMonitor watch,
                       Follower follower)
    : m_loop(loop)
    , m_store(store)
    , m_translation(translation)
    , m_metrics(metrics)
    , m_era(era)
    , m_watch(watch)
    , m_follower(std::move(follower))
{}

FeedDriver::~FeedDriver()
{
    m_loop.cancel(m_timer);
}

void FeedDriver::advance()
{
    const FeedStep step = m_follower.next(m_loop.now());
    std::visit([this](const auto &wanted) { perform(wanted); }, step);
}

void FeedDriver::perform(const BeginCall &step)
{
    // Read again, because this event loop iteration may have taken long and the age of the answer counts from
    // the start of the call.
    const TimePoint began = m_loop.now();
    const FeedCall call = step.call;
    const std::uint64_t number = ++m_call;
    m_store.call(m_translation.feedCall(call),
                 step.timeout,
                 [this, call, began, number](const MessageHead &head, const std::string &body) {
                     const bool usable = head.status != 0 && m_era.accept(head, m_loop.now());
                     const FeedAnswer answer = usable ? m_translation.feedAnswer(call, head.status, body)
                                                      : FeedAnswer(FeedUnavailable{0});
                     m_metrics.countStoreCall(std::visit(StoreCallKindOf{}, call), outcomeOf(answer));
                     if (number != m_call) {
                         return; // Superseded by a newer call.
                     }
                     m_watch.noteAnswer(answer, m_loop.now());
                     if (!usable) {
                         m_follower.timedOut(m_loop.now());
                     } else {
                         m_follower.answered(answer, began, m_loop.now());
                     }
                     advance();
                 });
}

void FeedDriver::perform(const WaitUntil &step)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.at(step.time, [this] {
        m_timer = 0;
        advance();
    });
}

void FeedDriver::perform(const AwaitAnswer &) {}

} // namespace celeryroute
