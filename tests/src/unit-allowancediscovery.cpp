#include <celeryroute/detail/allowance/customerratelimiter.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(AllowanceDiscovery)
{
    TimePoint now{1h};
    ServingBounds bounds;
    CustomerRateLimiter own{"10.0.0.1", 1, bounds, now};

    EntryReport report(std::uint64_t sequence)
    {
        EntryReport report;
        report.sender = "10.0.0.2";
        report.incarnation = 1;
        report.sequence = sequence;
        report.spent = {{"crews", 1000}};
        report.members = {{"10.0.0.1", 1, own.makeReport(now).report.sequence, true}};
        return report;
    }
};

// Guards against counting a peer twice. Its first report can discover it, connect it and create the allowance of a new
// customer. The peer was then counted as connected twice, and requests were refused.
TEST(AllowanceDiscovery, firstReportOfAPeerAcknowledges_peerCountsOnce)
{
    ServingCustomer customer;
    customer.name = "crews";
    customer.countsTokens = true;
    customer.ratePerSecond = 50'000;
    customer.burst = 50'000;
    own.receive(report(1), now);
    own.setCustomers({customer}, now);
    std::uint64_t sequence = 1;
    std::uint32_t refused = 0;
    for (int i = 0; i < 400; ++i) {
        now += 50ms;
        own.receive(report(++sequence), now);
        refused += std::holds_alternative<RateLimitRefusal>(own.admit("crews", 1000, now)) ? 1 : 0;
    }
    UNSIGNED_LONGS_EQUAL(0, refused);
}
