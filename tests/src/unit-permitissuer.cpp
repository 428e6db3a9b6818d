#include <celeryroute/detail/node/limitmessages.h>
#include <celeryroute/detail/targetlimit/permitissuer.h>

#include <serving.pb.h>

#include <limits>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(PermitIssuer)
{
    TimePoint now{1h};
    PermitIssuer issuer{0, now};

    void ask(const std::string &entry, std::uint32_t calls, std::uint32_t priority = 0, std::uint64_t seenGrant = 0)
    {
        const auto askedAt = static_cast<std::uint64_t>(toMilliseconds(now.time_since_epoch()));
        issuer.request(entry, {"t", calls, priority, askedAt, seenGrant}, now);
    }
    /// @brief Permits that @p entry is granted now.
    std::uint32_t granted(const std::string &entry)
    {
        std::uint32_t calls = 0;
        for (const auto &[receiver, grant] : issuer.grant(now)) {
            calls += receiver == entry ? grant.calls : 0;
        }
        return calls;
    }
};

TEST(PermitIssuer, onePermit_goesToTheMostUrgentRequest)
{
    issuer.setRate(1, 1, now);
    ask("a", 1, 5);
    ask("b", 1, 2);
    now += 1s;
    ask("a", 1, 5);
    ask("b", 1, 2);
    UNSIGNED_LONGS_EQUAL(1, granted("b"));
    UNSIGNED_LONGS_EQUAL(1, issuer.wanted());
}

TEST(PermitIssuer, equallyUrgentRequests_areServedInTurn)
{
    issuer.setRate(1, 1, now);
    std::string served;
    for (int i = 0; i < 4; ++i) {
        now += 1s;
        ask("a", 9, 0, 9);
        ask("b", 9, 0, 9);
        for (const auto &[receiver, grant] : issuer.grant(now)) {
            served += grant.calls > 0 ? receiver : "";
        }
    }
    CHECK_TRUE(served == "abab" || served == "baba");
}

TEST(PermitIssuer, requestThatCrossedItsGrant_isNotGrantedTwice)
{
    issuer.setRate(10, 1, now);
    now += 10s;
    ask("a", 2);
    UNSIGNED_LONGS_EQUAL(2, granted("a"));
    ask("a", 2);
    UNSIGNED_LONGS_EQUAL(0, granted("a"));
    ask("a", 2, 0, 1);
    now += 1s;
    ask("a", 2, 0, 1);
    UNSIGNED_LONGS_EQUAL(2, granted("a"));
}

TEST(PermitIssuer, requestNotRepeated_isDropped)
{
    issuer.setRate(0.5, 1, now);
    ask("a", 1);
    UNSIGNED_LONGS_EQUAL(0, granted("a"));
    now += PermitIssuer::RequestLifetime + 1ms;
    UNSIGNED_LONGS_EQUAL(0, granted("a"));
    CHECK_FALSE(issuer.due().has_value());
}

TEST(PermitIssuer, cancelledRequest_takesNoPermit)
{
    issuer.setRate(0.5, 1, now);
    ask("a", 1);
    ask("a", 0);
    CHECK_FALSE(issuer.due().has_value());
}

TEST(PermitIssuer, limitOfZero_grantsOneInFiveSeconds)
{
    issuer.setRate(0, 1, now);
    std::uint32_t calls = 0;
    for (int i = 0; i < 600; ++i) {
        now += 50ms;
        ask("a", 5, 0, calls);
        calls += granted("a");
    }
    UNSIGNED_LONGS_EQUAL(6, calls);
}

TEST(PermitIssuer, idleIssuerWithFewShares_savesLessThanAPermit)
{
    issuer.setRate(10, 0.2, now);
    now += 60s;
    CHECK_TRUE(issuer.level() < 1);
    ask("a", 5);
    UNSIGNED_LONGS_EQUAL(0, granted("a"));
}

TEST(PermitIssuer, suspension_losesSavedPermits)
{
    issuer.setRate(10, 1, now);
    now += 60s;
    issuer.setRate(10, 1, now);
    issuer.empty(now);
    ask("a", 5);
    UNSIGNED_LONGS_EQUAL(0, granted("a"));
}

TEST_GROUP(LimitMessages){};

TEST(LimitMessages, report_isReadAsItWasWritten)
{
    const TimePoint now{1h};
    LimitReport report;
    report.notices = {{"i-1", {1'784'843'656'886, 1.2, now - 3s}}, {"i-2", {0, std::nullopt, now}}};
    report.requests = {{"i-1", 3, 2, 12'345, 6}};
    report.grants = {{"i-1", 7, 2, 12'345, 800ms}};
    wire::EntryLimits limits;
    writeLimits(report, now, limits);
    CHECK_TRUE(readLimits(limits, now) == report);
}

// While calls wait, an entry asks for permits 7 times a second and is answered as often.
TEST(LimitMessages, requestAndGrant_takeFewBytes)
{
    constexpr std::size_t MostBytes = 80;
    const TimePoint now{1h};
    const LimitNotice notice{"i-0123456789", {1'784'843'656'886, 1.2, now - 300ms}};
    wire::EntryLimits request;
    writeLimits({{notice}, {{"i-0123456789", 12, 3, 3'600'000, 500}}, {}}, now, request);
    CHECK_TRUE(request.ByteSizeLong() <= MostBytes);
    wire::EntryLimits grant;
    writeLimits({{notice}, {}, {{"i-0123456789", 501, 1, 3'600'000, 800ms}}}, now, grant);
    CHECK_TRUE(grant.ByteSizeLong() <= MostBytes);
}

TEST(LimitMessages, limitThatIsNoNumber_isReadAsNone)
{
    wire::EntryLimits limits;
    limits.add_limits()->set_per_second(-1);
    limits.add_limits()->set_per_second(std::numeric_limits<double>::quiet_NaN());
    for (const LimitNotice &notice : readLimits(limits, TimePoint(1h)).notices) {
        CHECK_FALSE(notice.limit.perSecond.has_value());
    }
}
