#include "entryexchange.h"

#include <algorithm>
#include <initializer_list>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 200000; ///< Tokens a second of the only customer.
constexpr double Cost = 5000;
constexpr Duration ReportsSettle = 3s; ///< Until a new entry is in touch with all others.

/// Entries on narrow links. Many targets die at once, and entries restart one after another soon after.
class MassFailure
{
public:
    struct Load {
        std::size_t entries = 31;
        std::size_t suspects = 50;
        std::size_t restarts = 14;
        double linkBytesPerSecond = 250000; ///< What calls leave of a link of 10 Mbit/s.
    };

    MassFailure(const Load &load, std::uint64_t seed)
        : exchange(load.entries, seed)
        , m_load(load)
    {
        exchange.linkBytesPerSecond = load.linkBytesPerSecond;
        exchange.linkQueueBytes = load.linkBytesPerSecond * toSeconds(LinkDelay);
        for (EntryExchange::Entry &entry : exchange.entries) {
            limit(entry);
        }
    }

    EntryExchange exchange;
    std::size_t requests = 0;
    std::size_t refused = 0;
    double leastShare = 1; ///< Of an entry that has been up for long.

    void run()
    {
        play(5s);
        const std::uint64_t bytesBefore = exchange.sentBytes;
        crashTargets();
        play(3s);
        showDeaths();
        play(1s);
        for (std::size_t i = 0; i < m_load.restarts; ++i) {
            const std::size_t index = i * m_load.entries / m_load.restarts;
            exchange.start(index);
            exchange.entries[index].down = exchange.now + 1s;
            limit(exchange.entries[index]);
            play(640ms);
        }
        play(6s);
        bytesSent = exchange.sentBytes - bytesBefore;
    }

    std::uint64_t bytesSent = 0; ///< From the crashes on.

    /// @brief Pairs of an entry and a suspect that it doesn't know.
    std::size_t unknownMarks()
    {
        std::size_t unknown = 0;
        for (EntryExchange::Entry &entry : exchange.entries) {
            for (std::uint64_t request = 1; request <= m_load.suspects; ++request) {
                unknown += entry.suspects.crashes(digestOf(request)) == 0 ? 1 : 0;
            }
        }
        return unknown;
    }

private:
    static constexpr Duration LinkDelay = 200ms; ///< Of a full link.
    static constexpr std::size_t Targets = 21;
    static constexpr std::size_t PartsOfRequest = 8;
    static constexpr std::size_t Subjects = 40;

    void limit(EntryExchange::Entry &entry) const
    {
        entry.pool->setCustomers({{"c", {}, {}, true, 1, Rate, Rate}}, exchange.now);
        entry.pool->expectMembers(m_load.entries, exchange.now);
    }
    static std::uint64_t digestOf(std::uint64_t request)
    {
        return request * 0x9e3779b97f4a7c15;
    }
    static std::string targetOf(std::uint64_t request)
    {
        return "i-0123456789abcdef" + std::to_string(request % Targets);
    }
    void crashTargets()
    {
        for (std::uint64_t request = 1; request <= m_load.suspects; ++request) {
            std::vector<std::uint64_t> parts;
            for (std::size_t i = 0; i < PartsOfRequest; ++i) {
                parts.push_back(1 + exchange.any(Subjects));
            }
            exchange.entries[exchange.any(m_load.entries)].suspects.noteUnanswered(
                {digestOf(request), targetOf(request), 1784843656886, exchange.now - 1s, {}, parts},
                exchange.now);
        }
    }
    void showDeaths()
    {
        for (EntryExchange::Entry &entry : exchange.entries) {
            for (std::uint64_t target = 0; target < Targets; ++target) {
                entry.suspects.targetDied(targetOf(target), exchange.now);
            }
        }
    }
    void play(Duration length)
    {
        for (const TimePoint end = exchange.now + length; exchange.now < end;) {
            exchange.step();
            for (const EntryExchange::Entry &entry : exchange.entries) {
                if (exchange.now >= std::max(entry.down, m_start) + ReportsSettle) {
                    leastShare = std::min(leastShare, entry.pool->members().usableFraction());
                }
            }
            if (exchange.happens(Rate / Cost / 100 / 2)) { // Steps of 10 ms; half of the rate.
                ask();
            }
        }
    }
    void ask()
    {
        EntryExchange::Entry &entry = exchange.entries[exchange.any(m_load.entries)];
        if (exchange.now < std::max(entry.down, m_start) + ReportsSettle) {
            return;
        }
        ++requests;
        refused += std::holds_alternative<RateLimitRefusal>(entry.pool->admit("c", Cost, exchange.now)) ? 1 : 0;
    }

    Load m_load;
    TimePoint m_start = exchange.now;
};

} // namespace

TEST_GROUP(CrashExchange){};

TEST(CrashExchange, massFailureAndRollingRestartOverNarrowLinks_entriesKeepEachOther)
{
    constexpr std::uint64_t Seeds = 5;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        MassFailure failure({}, seed);
        failure.run();
        const std::string text = "seed " + std::to_string(seed) + ": lost "
            + std::to_string(failure.exchange.lostLivePeers) + ", dropped "
            + std::to_string(failure.exchange.droppedDatagrams) + ", refused " + std::to_string(failure.refused)
            + " of " + std::to_string(failure.requests) + ", least share " + std::to_string(failure.leastShare)
            + ", bytes " + std::to_string(failure.bytesSent);
        CHECK_TEXT(failure.exchange.lostLivePeers == 0, text.c_str());
        CHECK_TEXT(failure.refused == 0, text.c_str());
        CHECK_TEXT(failure.leastShare > 0.8, text.c_str());
        UNSIGNED_LONGS_EQUAL(0, failure.unknownMarks());
    }
}

TEST(CrashExchange, lossyLinks_allEntriesLearnOfAllCrashes)
{
    for (const double lossRate : {0.05, 0.2, 0.4}) {
        MassFailure failure({31, 50, 7}, 1);
        failure.exchange.lossRate = lossRate;
        failure.run();
        UNSIGNED_LONGS_EQUAL(0, failure.unknownMarks());
        UNSIGNED_LONGS_EQUAL(0, failure.exchange.droppedDatagrams);
    }
}

TEST(CrashExchange, rollingRestartWithoutCrashes_entriesKeepEachOther)
{
    MassFailure failure({31, 0}, 1);
    failure.run();
    UNSIGNED_LONGS_EQUAL(0, failure.exchange.lostLivePeers);
    UNSIGNED_LONGS_EQUAL(0, failure.refused);
    CHECK_TRUE(failure.leastShare > 0.8);
}

namespace {

std::string addressOf(std::size_t index)
{
    return EntryExchange::addressOf(index);
}

/// An entry that tells others of crashes.
struct Teller {
    explicit Teller(std::size_t index = 0, const CrashExchangeLimits &limits = {})
        : exchange(addressOf(index), Incarnation, limits)
    {}

    static constexpr std::uint64_t Incarnation = 5;
    CrashSuspects suspects;
    CrashExchange exchange;

    void crash(std::uint64_t request, const std::string &target, TimePoint now)
    {
        suspects.noteUnanswered({request, target, 1, now - 1s}, now);
        suspects.targetDied(target, now);
    }
    void hear(std::size_t first, std::size_t last, TimePoint now, std::uint64_t incarnation = 1)
    {
        for (std::size_t i = first; i <= last; ++i) {
            exchange.noteHeard(addressOf(i), incarnation, now);
        }
    }
    std::vector<CrashExchange::Outgoing> tell(TimePoint now)
    {
        return exchange.makeReports(suspects, now);
    }
    /// @brief Reports over @p length to the peer @p index, which is heard all the time and gives no receipts.
    std::vector<CrashReport> reportsOver(Duration length, std::size_t index, TimePoint &now)
    {
        std::vector<CrashReport> reports;
        for (const TimePoint end = now + length; now < end; now += 100ms) {
            hear(index, index, now);
            for (const CrashExchange::Outgoing &outgoing : tell(now)) {
                if (outgoing.receiver == addressOf(index)) {
                    reports.push_back(outgoing.report);
                }
            }
        }
        return reports;
    }
};

CrashReceipt receiptOf(std::initializer_list<std::uint64_t> numbers)
{
    CrashReceipt receipt{Teller::Incarnation};
    for (const std::uint64_t number : numbers) {
        receipt.add(number);
    }
    return receipt;
}

std::size_t bytesOf(const CrashReport &report)
{
    wire::EntryGossip gossip;
    writeCrashes(report, gossip);
    return gossip.ByteSizeLong();
}

} // namespace

TEST_GROUP(CrashReports)
{
    TimePoint now{1h};
    Teller teller;
};

TEST(CrashReports, receipt_endsTheTransmissions)
{
    teller.hear(1, 2, now);
    teller.crash(7, "a", now);
    const std::vector<CrashExchange::Outgoing> reports = teller.tell(now);
    UNSIGNED_LONGS_EQUAL(2, reports.size());
    UNSIGNED_LONGS_EQUAL(1, reports.front().report.marks.size());
    teller.exchange.noteReceipt(addressOf(1), receiptOf({1}));
    CHECK_TRUE(teller.reportsOver(60s, 1, now).empty());
}

TEST(CrashReports, receiptOfAnotherIncarnation_isIgnored)
{
    teller.hear(1, 1, now);
    teller.crash(7, "a", now);
    UNSIGNED_LONGS_EQUAL(1, teller.tell(now).size());
    CrashReceipt receipt = receiptOf({1});
    receipt.incarnation = Teller::Incarnation - 1;
    teller.exchange.noteReceipt(addressOf(1), receipt);
    CHECK_FALSE(teller.reportsOver(1s, 1, now).empty());
}

TEST(CrashReports, lostReport_isSentAgainAfterGrowingIntervals)
{
    teller.hear(1, 1, now);
    teller.exchange.noteReceipt(addressOf(1), receiptOf({}));
    teller.crash(7, "a", now);
    UNSIGNED_LONGS_EQUAL(5, teller.reportsOver(3s, 1, now).size()); // Each 0.5 s up to 2 s.
    UNSIGNED_LONGS_EQUAL(9, teller.reportsOver(60s, 1, now).size()); // At 3, 5, 9 and 17 s, then each 8 s.
}

TEST(CrashReports, peerWithoutReceipts_isToldEightTimes)
{
    teller.crash(7, "a", now);
    UNSIGNED_LONGS_EQUAL(8, teller.reportsOver(120s, 1, now).size());
}

TEST(CrashReports, answersThatClearParts_areToldLikeMarksAndAgainAfterARestart)
{
    constexpr std::uint64_t Part = 9;
    teller.suspects.parts().add({7, "a", 1, now, now, {Part}}, now);
    teller.suspects.parts().noteAnswered({Part}, now);
    const std::vector<CrashReport> reports = teller.reportsOver(120s, 1, now);
    UNSIGNED_LONGS_EQUAL(8, reports.size());
    for (const CrashReport &report : reports) {
        UNSIGNED_LONGS_EQUAL(Part, report.partAnswers.at(0).part);
    }
    teller.hear(1, 1, now, 2);
    UNSIGNED_LONGS_EQUAL(1, teller.tell(now).at(0).report.partAnswers.size());
}

TEST(CrashReports, markOfPeer_isNotToldBack)
{
    teller.hear(1, 2, now);
    const CrashReport report{{{7, "a", 1}}, {}, 1};
    UNSIGNED_LONGS_EQUAL(1, teller.exchange.receive(addressOf(1), 1, report, teller.suspects, now).size());
    CHECK_TRUE(teller.exchange.receive(addressOf(1), 1, report, teller.suspects, now).empty());
    const std::vector<CrashExchange::Outgoing> reports = teller.tell(now);
    UNSIGNED_LONGS_EQUAL(1, reports.size());
    STRCMP_EQUAL(addressOf(2).c_str(), reports.front().receiver.c_str());
}

TEST(CrashReports, restartedPeer_isToldAgainUnderNewNumbers)
{
    teller.hear(1, 1, now);
    teller.crash(7, "a", now);
    UNSIGNED_LONGS_EQUAL(1, teller.tell(now).at(0).report.number);
    teller.exchange.noteReceipt(addressOf(1), receiptOf({1}));
    teller.hear(1, 1, now, 2);
    const std::vector<CrashExchange::Outgoing> reports = teller.tell(now);
    UNSIGNED_LONGS_EQUAL(2, reports.at(0).report.number);
    UNSIGNED_LONGS_EQUAL(1, reports.at(0).report.marks.size());
}

TEST(CrashReports, silentPeer_isToldNothing)
{
    teller.hear(1, 2, now);
    teller.crash(7, "a", now);
    now += 4s;
    teller.hear(1, 1, now);
    UNSIGNED_LONGS_EQUAL(1, teller.tell(now).size());
}

TEST(CrashReports, newEntry_isToldMarksOfOthersByThreeRelaysAndByOthersWhenTheyLeave)
{
    constexpr std::size_t Entries = 31;
    constexpr std::size_t Newcomer = Entries;
    std::vector<Teller> tellers;
    for (std::size_t i = 0; i < Entries; ++i) {
        tellers.emplace_back(i);
        tellers.back().suspects.merge({7, "a", 1}, now);
    }
    std::set<std::size_t> told;
    const auto tellAll = [&] {
        std::set<std::size_t> relays;
        for (std::size_t i = 0; i < Entries; ++i) {
            for (std::size_t peer = 0; peer <= Newcomer; ++peer) {
                if (peer != i && !told.contains(i) && !told.contains(peer)) {
                    tellers[i].hear(peer, peer, now);
                }
            }
            if (told.contains(i)) {
                continue;
            }
            for (const CrashExchange::Outgoing &outgoing : tellers[i].tell(now)) {
                if (outgoing.receiver == addressOf(Newcomer)) {
                    relays.insert(i);
                }
            }
        }
        return relays;
    };
    const std::set<std::size_t> first = tellAll();
    UNSIGNED_LONGS_EQUAL(3, first.size());
    told = first;
    now += 4s;
    const std::set<std::size_t> second = tellAll();
    UNSIGNED_LONGS_EQUAL(3, second.size());
    for (const std::size_t relay : second) {
        CHECK_FALSE(first.contains(relay));
    }
}

TEST(CrashReports, manyMarks_keepToTheByteRateAndTellRequestsWithMostCrashesFirst)
{
    constexpr std::size_t Peers = 67;
    constexpr std::uint64_t Guilty = 4000;
    CrashExchangeLimits limits;
    limits.linkBytesPerSecond = 20000;
    Teller slow(0, limits);
    for (std::uint64_t request = 1; request <= 500; ++request) {
        slow.crash(request * 0x9e3779b97f4a7c15, "i-0123456789abcdef" + std::to_string(request % 20), now);
    }
    slow.crash(Guilty, "b", now);
    slow.crash(Guilty, "c", now);
    std::size_t bytes = 0;
    std::size_t reports = 0;
    const TimePoint begin = now;
    for (; now < begin + 10s; now += 200ms) {
        slow.hear(1, Peers, now);
        for (const CrashExchange::Outgoing &outgoing : slow.tell(now)) {
            CHECK_TRUE(reports++ >= Peers || outgoing.report.marks.front().request == Guilty);
            CHECK_TRUE(bytesOf(outgoing.report) <= limits.datagramBytes);
            bytes += bytesOf(outgoing.report);
        }
    }
    CHECK_TRUE(bytes <= 10 * limits.linkBytesPerSecond + Peers * limits.datagramBytes);
    CHECK_TRUE(bytes >= 5 * limits.linkBytesPerSecond);
}

TEST(CrashReports, markLargerThanAnyReport_isSentAlone)
{
    teller.hear(1, 1, now);
    teller.suspects.noteUnanswered({7, "a", 1, now, {}, std::vector<std::uint64_t>(400, 3)}, now);
    teller.suspects.noteUnanswered({8, "b", 1, now}, now);
    UNSIGNED_LONGS_EQUAL(2, teller.reportsOver(400ms, 1, now).size());
}

TEST(CrashReports, receipts_holdTheNewestNumberAndSixtyFourBefore)
{
    std::mt19937_64 random(1);
    CrashReceipt receipt;
    std::set<std::uint64_t> arrived;
    for (int i = 0; i < 2000; ++i) {
        const std::uint64_t number = 1 + receipt.newest + random() % 12 - std::min<std::uint64_t>(receipt.newest, 6);
        receipt.add(number);
        arrived.insert(number);
        for (std::uint64_t other = receipt.newest > 64 ? receipt.newest - 64 : 1; other <= receipt.newest + 1;
             ++other) {
            CHECK_EQUAL(arrived.contains(other), receipt.contains(other));
        }
    }
    CHECK_FALSE(receipt.contains(0));
    CHECK_FALSE(receipt.contains(receipt.newest - 65));
}
