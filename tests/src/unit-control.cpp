#include <celeryroute/detail/control/control.h>
#include <celeryroute/detail/transport/transportcontext.h>

#include <absl/synchronization/blocking_counter.h>
#include <atomic>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

TEST_GROUP(Control)
{
    StateStore store;
    TransportContext context{CurveKeys{}};
    Timeline timeline{"p", "h", 10};
    Metrics metrics;
};

TEST(Control, instanceName_namesItsHostAndIsUnique)
{
    const std::string name = newInstanceName("yard.kisumu-7");
    STRCMP_EQUAL("yard.kisumu-7", hostOfInstance(name).c_str());
    CHECK(name != newInstanceName("yard.kisumu-7"));
}

// A hook that posts a command on each tick once made the thread use a whole core.
TEST(Control, hookPostsACommandOnEachTick_ticksStaySpaced)
{
    constexpr int Ticks = 4;
    ControlSettings settings;
    settings.host = "h";
    settings.instance = "h.1";
    settings.follower.incarnation = "h.1";
    settings.logUrl = "http://127.0.0.1:1";
    settings.hostsUrl = "http://127.0.0.1:1";
    Control control(settings, store, context, Observers{timeline, metrics});
    absl::BlockingCounter missing(Ticks);
    std::atomic<int> ticks{0};
    ControlHooks hooks;
    hooks.hostsChanged = [](const std::vector<HostEntry> &) {};
    hooks.stateChanged = [] {};
    hooks.tick = [&](TimePoint) {
        control.setLinkedDomains({"a"});
        if (ticks++ < Ticks) {
            missing.DecrementCount();
        }
    };
    const TimePoint start = MonotonicClock::now();
    control.start(hooks);
    missing.Wait();
    const Duration elapsed = MonotonicClock::now() - start;
    control.stop();
    CHECK(elapsed >= (Ticks - 1) * std::chrono::milliseconds(100));
}
