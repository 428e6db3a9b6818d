#include <celeryroute/detail/node/demandsender.h>
#include <celeryroute/detail/node/gossipmessages.h>
#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/peerroster.h>
#include <celeryroute/detail/node/peersocket.h>
#include <celeryroute/detail/node/readinessserver.h>
#include <celeryroute/detail/node/signalpipe.h>
#include <celeryroute/detail/node/statepublication.h>

#include "gatewayworld.h"

#include <serving.pb.h>

#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(PeerRoster){};

TEST(PeerRoster, messages_areAcceptedOnceAndInOrderUntilTheirSenderIsForgotten)
{
    struct Row {
        Duration at;
        std::uint64_t incarnation;
        std::uint64_t sequence;
        bool taken;
    };
    const Row rows[] = {
        {10s, 5, 1, true},
        {10s, 5, 1, false},
        {10s, 5, 3, true},
        {10s, 5, 2, false},
        {10s, 6, 1, true},
        {10s, 5, 9, false},
        {11s, 5, 9, false},
        {11s, 6, 2, true},
        {12001ms, 4, 1, true}, // The clock of the peer was set back.
    };
    PeerRoster roster(4s);
    for (const Row &row : rows) {
        CHECK_EQUAL(row.taken, roster.recordMessage("a", row.incarnation, row.sequence, TimePoint(row.at)));
    }
    CHECK(roster.wasHeardWithin("a", 1s, TimePoint(13s)) && !roster.wasHeardWithin("a", 1s, TimePoint(14s)));
    roster.removeSilent(TimePoint(16s));
    CHECK_EQUAL(1U, roster.peers().size());
    roster.removeSilent(TimePoint(17s));
    CHECK_EQUAL(0U, roster.peers().size());
}

TEST(PeerRoster, silentPeers_areReportedLostOnceAndRegainedWithTheTimeBetween)
{
    std::vector<PeerRoster::Change> changes;
    PeerRoster roster(30s, [&changes](const PeerRoster::Change &change) { changes.push_back(change); });
    roster.recordMessage("a", 5, 1, TimePoint(10s));
    roster.recordMessage("a", 5, 2, TimePoint(11s));
    roster.updateSilent(2s, TimePoint(13s));
    CHECK_EQUAL(1U, roster.presentCount());
    roster.updateSilent(2s, TimePoint(13001ms));
    roster.updateSilent(2s, TimePoint(14s));
    CHECK_EQUAL(0U, roster.presentCount());
    CHECK_FALSE(roster.recordMessage("a", 5, 2, TimePoint(15s)));
    roster.recordMessage("a", 6, 1, TimePoint(16s));
    roster.updateSilent(2s, TimePoint(60s));
    CHECK(roster.peers().empty());
    const std::vector<PeerRoster::Change> expected = {{"a", 5, false, std::nullopt},
                                                      {"a", 5, true, 2001ms},
                                                      {"a", 6, false, 5s},
                                                      {"a", 6, true, 44s}};
    CHECK(changes == expected);
}

TEST_GROUP(StatePublication)
{
    StatePublication publication;
    TargetStatus status;
    TimePoint now = TimePoint(100s);

    Publication publish(std::uint64_t version, std::size_t entries)
    {
        const Publication due = publication.due(status, version, entries, now);
        publication.notePublished(due, status, version, now);
        return due;
    }
};

TEST(StatePublication, fewEntries_areToldOfEveryChangeAtOnce)
{
    for (std::uint64_t version = 1; version < 5; ++version) {
        CHECK(publish(version, 5) == Publication::StateToAll);
        now += 1ms;
        CHECK(publish(version, 5) == Publication::None);
    }
}

TEST(StatePublication, manyEntries_areToldOfChangesTogetherAndThoseWithWaitingCallsAtOnce)
{
    constexpr std::size_t Many = 68;
    CHECK(publish(1, Many) == Publication::StateToAll);
    int toAll = 0;
    for (std::uint64_t version = 2; version < 102; ++version) {
        now += 5ms;
        const Publication due = publish(version, Many);
        toAll += due == Publication::StateToAll ? 1 : 0;
        CHECK(due == Publication::StateToAll || due == Publication::State);
    }
    CHECK(toAll <= 10); // At most one in 52 ms.
    CHECK(publish(101, Many) == Publication::None);
    const TimePoint due = publication.changeDue(101, Many);
    if (due != TimePoint::max()) {
        now = due;
        CHECK(publish(101, Many) == Publication::StateToAll);
    }
    CHECK(publication.changeDue(101, Many) == TimePoint::max());
}

TEST(StatePublication, loadChanges_areSentAtIntervalsThatGrowWithTheEntries)
{
    const auto messagesIn9s = [this](std::size_t entries) {
        StatePublication fresh;
        int loads = 0;
        int states = 0;
        for (int i = 0; i < 900; ++i) {
            now += 10ms;
            ++status.active;
            const Publication due = fresh.due(status, 1, entries, now);
            fresh.notePublished(due, status, 1, now);
            loads += due == Publication::Load ? 1 : 0;
            states += due == Publication::StateToAll ? 1 : 0;
        }
        CHECK(states >= 3 && states <= 4);
        return loads;
    };
    const int few = messagesIn9s(5);
    const int many = messagesIn9s(68);
    CHECK(few >= 50 && few <= 60);
    CHECK(many >= 9 && many * 3 < few);
    CHECK(messagesIn9s(1900) >= 6); // Each entry hears of the target within its heartbeat.
}

TEST(StatePublication, idleTarget_isHeardOfWithinItsHeartbeat)
{
    CHECK(publish(1, 68) == Publication::StateToAll);
    now += 899ms;
    CHECK(publish(1, 68) == Publication::None);
    now += 1ms;
    CHECK(publish(1, 68) == Publication::Load);
}

TEST(StatePublication, entryLacksTheState_needsItOnceItsMessageCannotHaveCrossedIt)
{
    publish(1, 5);
    now += 3s;
    publish(2, 5);
    now += 100ms;
    CHECK_FALSE(publication.needsState(1, now));
    now += 150ms;
    CHECK(publication.needsState(1, now) && publication.needsState(0, now));
    CHECK_FALSE(publication.needsState(2, now));
}

TEST_GROUP(DemandSender)
{
    EventLoop loop;
    std::vector<std::string> sent;
    std::set<std::string> wanting;
    DemandSender sender{loop, [this](const std::string &target) {
                            sent.push_back(target);
                            return wanting.contains(target);
                        }};

    bool sentTo(const std::vector<std::string> &targets)
    {
        const bool all = turnUntil(loop, [&] { return sent.size() >= targets.size(); });
        const bool same = sent == targets;
        sent.clear();
        return all && same;
    }
};

TEST(DemandSender, changes_areSentTogetherAndDemandsImmediatelyAndAgainUntilMet)
{
    sender.add("a");
    sender.add("b");
    sender.add("a");
    CHECK(sentTo({"a", "b"}));
    for (int i = 0; i < 5; ++i) {
        sender.changed("a", false);
        sender.changed("unknown", true);
        settle(loop);
    }
    CHECK(sent.empty());
    CHECK(sentTo({"a"}));
    wanting = {"b"};
    sender.changed("b", true);
    sender.changed("b", true);
    loop.turn(0s);
    CHECK(sentTo({"b"}));
    CHECK(sentTo({"b", "b", "b"}));
    wanting.clear();
    CHECK(sentTo({"b"}));
    sender.remove("b");
    CHECK(sentTo({"a"})); // Heartbeat.
}

TEST(PeerRoster, datagramsThatHaveNotCome_areCountedOnceForEachIncarnation)
{
    PeerRoster roster(4s);
    const TimePoint now{10s};
    CHECK_EQUAL(0U, roster.recordDatagram("a", 5, 7)); // Not a peer.
    CHECK(roster.recordMessage("a", 5, 10, now));
    CHECK_EQUAL(0U, roster.recordDatagram("a", 5, 7)); // This process may have restarted.
    CHECK(roster.recordMessage("a", 5, 40, now));
    CHECK_EQUAL(3U, roster.recordDatagram("a", 5, 11));
    CHECK_EQUAL(0U, roster.recordDatagram("a", 5, 9));
    CHECK_EQUAL(0U, roster.recordDatagram("a", 5, 0)); // Of an older build.
    CHECK_EQUAL(0U, roster.recordDatagram("a", 5, 12));
    CHECK(roster.recordMessage("a", 6, 1, now));
    CHECK_EQUAL(0U, roster.recordDatagram("a", 5, 20));
    CHECK_EQUAL(0U, roster.recordDatagram("a", 6, 1));
    CHECK_EQUAL(1U, roster.recordDatagram("a", 6, 3));
}

TEST_GROUP(PeerSocket)
{
    EventLoop loop;
    Endpoint here = freeEndpoint();
    std::vector<std::uint64_t> heard;
    PeerSocket receiver{loop, "127.0.0.1", 7, [this](const Endpoint &, const wire::Envelope &envelope) {
                            heard.push_back(envelope.incarnation() * 100 + envelope.sequence());
                        }};
    PeerSocket sender{loop, "127.0.0.4", 9, [](const Endpoint &, const wire::Envelope &) {}};

    static int opened(PeerSocket & socket, const Endpoint &endpoint)
    {
        return handleErrors(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(socket.open(endpoint));
                return 0;
            },
            [](const Error &error) { return static_cast<int>(error.code); });
    }
};

TEST(PeerSocket, messages_areNumberedAndOtherDatagramsAreIgnored)
{
    CHECK_EQUAL(0, opened(receiver, here));
    CHECK_EQUAL(0, opened(sender, {*parseIp("127.0.0.4"), here.port}));
    CHECK_EQUAL(static_cast<int>(ResultCode::PortUnavailable), opened(sender, {0xc0000201, here.port}));
    wire::Envelope envelope;
    envelope.mutable_usage()->set_instance("i-1");
    sender.send(here, envelope);
    const int raw = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(here.port);
    address.sin_addr.s_addr = htonl(here.ip);
    for (const std::string &bytes : {std::string("\xff\xff rubbish"), std::string()}) {
        sendto(raw, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }
    close(raw);
    sender.send(here, envelope);
    CHECK(turnUntil(loop, [this] { return heard.size() >= 3; }));
    const std::vector<std::uint64_t> expected = {901, 0, 902};
    CHECK(heard == expected);
}

TEST(PeerSocket, messages_areNumberedForEachReceiver)
{
    CHECK_EQUAL(0, opened(sender, {*parseIp("127.0.0.4"), here.port}));
    const Endpoint other{here.ip, static_cast<std::uint16_t>(here.port + 1)};
    wire::Envelope envelope;
    envelope.mutable_usage()->set_instance("i-1");
    std::vector<std::uint64_t> numbers;
    for (const Endpoint &receiver : {here, here, other, here}) {
        CHECK_EQUAL(sender.send(receiver, envelope), envelope.ByteSizeLong());
        numbers.push_back(envelope.datagram());
    }
    const std::vector<std::uint64_t> expected = {1, 2, 1, 3};
    CHECK(numbers == expected);
    CHECK_EQUAL(4U, envelope.sequence());
}

TEST_GROUP(NodeParts)
{
    EventLoop loop;
};

TEST(NodeParts, reports_areReadAsTheyWereWritten)
{
    EntryReport report;
    report.sender = "127.0.0.2";
    report.incarnation = 5;
    report.sequence = 6;
    report.spent = {{"alpha", 12.5}, {"beta", 0}};
    report.members = {{"127.0.0.3", 1, 2, true}, {"127.0.0.4", 3, 4, false}};
    report.base = 4;
    report.urgent = true;
    wire::Envelope envelope;
    envelope.set_sender(report.sender);
    envelope.set_incarnation(report.incarnation);
    writeReport(report, *envelope.mutable_gossip());
    wire::Envelope read;
    CHECK(read.ParseFromString(envelope.SerializeAsString()));
    CHECK(readReport(read) == report);
    const CrashReport crashes = {{{7, "i-1", 1000, false, {5, ~0ULL}, 90ms, 20ms}, {~0ULL, "i-2", 0, true}},
                                 {{5, 30ms}, {~0ULL, 0ms}}};
    writeCrashes(crashes, *read.mutable_gossip());
    CHECK(readCrashes(read.gossip()) == crashes);
}

// The log identifies processes by this number alone.
TEST(NodeParts, processesThatStartTogether_haveDifferentIncarnations)
{
    const PlatformTranslation translation;
    std::set<std::uint64_t> incarnations;
    for (const char *name : {"front-a", "front-b", "side-3"}) {
        NodeSettings settings;
        settings.name = name;
        incarnations.insert(NodeCore(loop, settings, translation, -1).incarnation);
    }
    CHECK_EQUAL(3U, incarnations.size());
}

TEST(NodeParts, signals_arriveOnTheLoop)
{
    std::vector<int> received;
    const SignalPipe pipe(loop, [&received](int signal) { received.push_back(signal); });
    (void)std::raise(SIGHUP);
    (void)std::raise(SIGTERM);
    CHECK(received.empty());
    CHECK(turnUntil(loop, [&received] { return received.size() == 2; }));
    CHECK(received[0] == SIGHUP && received[1] == SIGTERM);
}

TEST(NodeParts, readinessServer_answersReadinessAndOtherPaths)
{
    bool ready = false;
    const Endpoint endpoint = freeEndpoint();
    ReadinessServer server(
        loop,
        "/ready",
        [&ready] { return ready; },
        [](const std::string &path) { return path == "/text" ? std::optional<std::string>("some") : std::nullopt; });
    CHECK(handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(server.listen(endpoint));
            return true;
        },
        [](const Error &) { return false; }));
    const auto ask = [&](const std::string &path) {
        RawCaller caller(loop, endpoint);
        caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        CHECK(caller.waitForEnd());
        return std::to_string(statusOf(caller.received())) + bodyOf(caller.received());
    };
    STRCMP_EQUAL("503", ask("/ready").c_str());
    ready = true;
    STRCMP_EQUAL("200", ask("/ready").c_str());
    STRCMP_EQUAL("200some", ask("/text").c_str());
    STRCMP_EQUAL("404", ask("/other").c_str());
}
