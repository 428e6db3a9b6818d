#pragma once

#include <celeryroute/detail/allowance/customerratelimiter.h>
#include <celeryroute/detail/gateway/crashexchange.h>
#include <celeryroute/detail/gateway/crashsuspects.h>
#include <celeryroute/detail/node/gossipmessages.h>
#include <celeryroute/detail/node/peerroster.h>

#include <serving.pb.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace celeryroute {

/// Entries that exchange reports and crash marks over a network that loses datagrams.
class EntryExchange
{
public:
    struct Entry {
        CrashSuspects suspects;
        std::unique_ptr<CrashExchange> crashes;
        std::unique_ptr<CustomerRateLimiter> pool;
        std::unique_ptr<PeerRoster> roster;
        std::uint64_t incarnation = 0;
        std::uint64_t messages = 0;
        TimePoint down = TimePoint::min(); ///< The entry is down until this time.
        double queuedOut = 0; ///< Bytes that wait in its link.
        double queuedIn = 0;
    };

    TimePoint now{std::chrono::hours(1)};
    double lossRate = 0;
    double linkBytesPerSecond = 0; ///< What a link carries in each direction; 0 for any amount.
    double linkQueueBytes = 0; ///< What waits in a link at most. Datagrams beyond it are dropped.
    std::vector<Entry> entries;
    std::uint64_t sentBytes = 0;
    std::uint64_t droppedDatagrams = 0;
    std::size_t lostLivePeers = 0; ///< Peers that an entry took for lost although they had been up for long.

    EntryExchange(std::size_t count, std::uint64_t seed)
        : entries(count)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            start(i);
        }
    }

    /// @brief Replaces the entry by a new process without any state.
    void start(std::size_t index)
    {
        Entry &entry = entries[index];
        entry.suspects = CrashSuspects();
        entry.incarnation = ++m_incarnation;
        entry.messages = 0;
        entry.crashes = std::make_unique<CrashExchange>(addressOf(index), entry.incarnation);
        entry.pool = std::make_unique<CustomerRateLimiter>(addressOf(index), entry.incarnation, ServingBounds(), now);
        entry.roster = std::make_unique<PeerRoster>(ReportTiming().memberTimeout,
                                                    [this](const PeerRoster::Change &change) { noteChange(change); });
    }
    void step()
    {
        now += StepLength;
        drainLinks();
        for (std::size_t i = 0; i < entries.size(); ++i) {
            Entry &sender = entries[i];
            if (now < sender.down) {
                continue;
            }
            sender.pool->advance(now);
            sender.roster->updateSilent(ReportTiming().acknowledgementTimeout, now);
            if (sender.pool->reportDue() <= now) {
                sendReports(i);
                sendCrashes(i);
            }
        }
    }
    bool happens(double chance)
    {
        return std::uniform_real_distribution<double>()(m_random) < chance;
    }
    std::size_t any(std::size_t count)
    {
        return m_random() % count;
    }
    static std::string addressOf(std::size_t index)
    {
        return "10.0.0." + std::to_string(index + 1);
    }

private:
    static constexpr Duration StepLength = std::chrono::milliseconds(10);
    static constexpr double PacketHeaderBytes = 28; ///< Of IP and UDP.
    static constexpr Duration RestartDetection = std::chrono::seconds(3); ///< Until a restart is over for all peers.

    void noteChange(const PeerRoster::Change &change)
    {
        for (std::size_t i = 0; change.lost && i < entries.size(); ++i) {
            lostLivePeers += addressOf(i) == change.address && now >= entries[i].down + RestartDetection ? 1 : 0;
        }
    }
    void drainLinks()
    {
        const double bytes = linkBytesPerSecond * toSeconds(StepLength);
        for (Entry &entry : entries) {
            entry.queuedOut = std::max(0.0, entry.queuedOut - bytes);
            entry.queuedIn = std::max(0.0, entry.queuedIn - bytes);
        }
    }
    bool passes(double &queued, double bytes)
    {
        if (linkBytesPerSecond > 0 && queued + bytes > linkQueueBytes) {
            ++droppedDatagrams;
            return false;
        }
        queued += bytes;
        return true;
    }
    void sendReports(std::size_t index)
    {
        Entry &sender = entries[index];
        const OutgoingReport outgoing = sender.pool->makeReport(now);
        for (std::size_t j = 0; j < entries.size(); ++j) {
            const std::string address = addressOf(j);
            const bool isReceiver = outgoing.receivers.empty()
                || std::find(outgoing.receivers.begin(), outgoing.receivers.end(), address) != outgoing.receivers.end();
            if (j != index && isReceiver) {
                wire::Envelope envelope;
                writeReport(sender.pool->reportFor(address, outgoing), *envelope.mutable_gossip());
                if (const std::optional<CrashReceipt> receipt = sender.crashes->receiptFor(address, now)) {
                    writeReceipt(*receipt, *envelope.mutable_gossip());
                }
                send(index, j, envelope);
            }
        }
    }
    void sendCrashes(std::size_t index)
    {
        Entry &sender = entries[index];
        for (const CrashExchange::Outgoing &crashes : sender.crashes->makeReports(sender.suspects, now)) {
            wire::Envelope envelope;
            writeCrashes(crashes.report, *envelope.mutable_gossip());
            for (std::size_t j = 0; j < entries.size(); ++j) {
                if (addressOf(j) == crashes.receiver) {
                    send(index, j, envelope);
                }
            }
        }
    }
    void send(std::size_t from, std::size_t to, wire::Envelope &envelope)
    {
        Entry &sender = entries[from];
        Entry &receiver = entries[to];
        envelope.set_sender(addressOf(from));
        envelope.set_incarnation(sender.incarnation);
        envelope.set_sequence(++sender.messages);
        const double bytes = static_cast<double>(envelope.ByteSizeLong()) + PacketHeaderBytes;
        sentBytes += static_cast<std::uint64_t>(bytes);
        if (passes(sender.queuedOut, bytes) && passes(receiver.queuedIn, bytes) && now >= receiver.down
            && !happens(lossRate)) {
            receive(receiver, envelope);
        }
    }
    void receive(Entry &receiver, const wire::Envelope &envelope) const
    {
        receiver.roster->recordMessage(envelope.sender(), envelope.incarnation(), envelope.sequence(), now);
        if (const std::optional<CrashReceipt> receipt = readReceipt(envelope.gossip())) {
            receiver.crashes->noteReceipt(envelope.sender(), *receipt);
        }
        receiver.crashes->receive(envelope.sender(),
                                  envelope.incarnation(),
                                  readCrashes(envelope.gossip()),
                                  receiver.suspects,
                                  now);
        if (envelope.gossip().report() > 0) {
            receiver.pool->receive(readReport(envelope), now);
        }
        if (receiver.pool->members().acknowledged(envelope.sender()) > 0) {
            receiver.crashes->noteHeard(envelope.sender(), envelope.incarnation(), now);
        }
    }

    std::mt19937_64 m_random;
    std::uint64_t m_incarnation = 0;
};

} // namespace celeryroute
