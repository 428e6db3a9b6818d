#pragma once

#include <celeryroute/detail/feed/feedstep.h>
#include <celeryroute/detail/node/asynchttpclient.h>
#include <celeryroute/detail/node/eramonitor.h>
#include <celeryroute/detail/node/platformtranslation.h>
#include <celeryroute/detail/node/storemonitor.h>
#include <celeryroute/detail/telemetry/servingmetrics.h>

#include <cstdint>
#include <functional>
#include <string_view>

namespace celeryroute {

/// @brief Performs the store calls that a follower of one topic requests.
class FeedDriver
{
public:
    /// Callbacks of the follower, which decides on the next call.
    struct Follower {
        std::function<FeedStep(TimePoint now)> next;
        std::function<void(FeedAnswer answer, TimePoint callBegan, TimePoint now)> answered;
        std::function<void(TimePoint now)> timedOut;
    };

    FeedDriver(EventLoop &loop,
               AsyncHttpClient &store,
               const PlatformTranslation &translation,
               ServingMetrics &metrics,
               EraMonitor &era,
               StoreMonitor watch,
               Follower follower);
    ~FeedDriver();
    FeedDriver(const FeedDriver &) = delete;
    FeedDriver &operator=(const FeedDriver &) = delete;

    /// @brief Performs the follower's next step; call it also when that step may have changed.
    void advance();

private:
    void perform(const BeginCall &step);
    void perform(const WaitUntil &step);
    void perform(const AwaitAnswer &step);

    EventLoop &m_loop;
    AsyncHttpClient &m_store;
    const PlatformTranslation &m_translation;
    ServingMetrics &m_metrics;
    EraMonitor &m_era;
    StoreMonitor m_watch;
    Follower m_follower;
    EventLoop::TimerId m_timer = 0;
    std::uint64_t m_call = 0; ///< Number of the newest call; answers to older calls are ignored.
};

} // namespace celeryroute
