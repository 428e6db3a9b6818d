#include <standins/loadplan.h>
#include <standins/loadreport.h>
#include <standins/recordlog.h>
#include <standins/storepace.h>
#include <standins/streamprobe.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

LoadSettings loadSettings()
{
    LoadSettings settings;
    settings.entryUrls = {"http://127.0.0.1:1", "http://127.0.0.1:2"};
    settings.keys = {"k0", "k1", "k2"};
    settings.models = {"a", "b"};
    settings.servicePath = "/couriers";
    settings.bookingFraction = 0.2;
    settings.callsPerSecond = 100;
    return settings;
}

} // namespace

TEST_GROUP(LoadPlan){};

TEST(LoadPlan, sameSeed_samePlan)
{
    LoadSettings settings = loadSettings();
    const std::vector<PlannedCall> plan = planLoad(settings);
    CHECK(plan == planLoad(settings));
    settings.seed = 2;
    CHECK(plan != planLoad(settings));
}

TEST(LoadPlan, firstCustomer_sendsMost)
{
    const std::vector<PlannedCall> plan = planLoad(loadSettings());
    CHECK(plan.size() > 800);
    CHECK(plan.size() < 1200);
    const auto sentBy = [&plan](std::size_t customer) {
        return std::count_if(plan.begin(), plan.end(), [customer](const PlannedCall &call) {
            return call.customer == customer;
        });
    };
    CHECK(sentBy(0) > sentBy(1));
    CHECK(sentBy(1) > sentBy(2));
    CHECK(sentBy(2) > 0);
}

TEST_GROUP(StreamProbe){};

TEST(StreamProbe, eventsSplitAnywhere_textAndTimesAreRead)
{
    const std::string events = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
                               "data: {\"choices\":[{\"delta\":{\"content\":\"y\"}}]}\n\n"
                               "data: {\"choices\":[{\"delta\":{}}]}\n\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut < events.size(); ++cut) {
        StreamProbe probe(Start);
        probe.add(events.substr(0, cut), Start + std::chrono::milliseconds(10));
        CHECK_FALSE(probe.complete());
        probe.add(events.substr(cut), Start + std::chrono::milliseconds(15));
        CHECK(probe.complete());
        STRCMP_EQUAL("xy", probe.text().c_str());
        LONGS_EQUAL(1, probe.tokenGaps().size());
    }
}

TEST_GROUP(Quantile){};

TEST(Quantile, samplesUnsorted_medianAndTailAreFound)
{
    std::vector<Duration> samples;
    for (int i = 100; i >= 0; --i) {
        samples.emplace_back(std::chrono::milliseconds(i));
    }
    CHECK(quantile(samples, 0.5) == std::chrono::milliseconds(50));
    CHECK(quantile(samples, 0.99) == std::chrono::milliseconds(99));
    CHECK(quantile({}, 0.5) == Duration::zero());
}

TEST_GROUP(RecordLog){};

TEST(RecordLog, appendsBeyondThePace_waitTheirTurn)
{
    RecordLog log(10, 100.0);
    TimePoint last = Start;
    for (int i = 0; i < 121; ++i) {
        last = handleErrors([&] { return log.reserveAppend(Start); }, [](const Error &) { return TimePoint(); });
    }
    CHECK(last == Start + std::chrono::seconds(1));
}

TEST(RecordLog, tooManyAppendsWait_refused)
{
    RecordLog log(10, 1.0);
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        handleErrors([&] { return log.reserveAppend(Start); },
                     [&](const Error &error) {
                         CHECK(error.code == ResultCode::LogUnavailable);
                         ++refused;
                         return Start;
                     });
    }
    CHECK(refused > 0);
    CHECK(refused < 100);
}

TEST_GROUP(StorePace){};

TEST(StorePace, modelLoads_startAtTheStoresRate)
{
    StoreSettings settings;
    settings.loadsPerSecond = 2;
    settings.megabytesPerSecond = 1000;
    StorePace pace(settings);
    CHECK(pace.startModel(1000, Start) == Start + std::chrono::seconds(1));
    CHECK(pace.startModel(1000, Start) == Start + std::chrono::milliseconds(1500));
}

TEST(StorePace, adaptersBeyondTheKnee_takeProportionallyLonger)
{
    StoreSettings settings;
    settings.adapterTime = std::chrono::milliseconds(7);
    settings.adaptersInFlight = 30;
    StorePace pace(settings);
    for (int i = 0; i < 30; ++i) {
        CHECK(pace.startAdapter(Start) == Start + std::chrono::milliseconds(7));
    }
    for (int i = 0; i < 29; ++i) {
        pace.startAdapter(Start);
    }
    const double last = toSeconds(pace.startAdapter(Start) - Start);
    DOUBLES_EQUAL(0.014, last, 1e-9);
    for (int i = 0; i < 60; ++i) {
        pace.adapterLoaded();
    }
    CHECK(pace.startAdapter(Start) == Start + std::chrono::milliseconds(7));
}
