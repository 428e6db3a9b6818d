#pragma once

#include <celeryroute/detail/allowance/customerratelimiter.h>
#include <celeryroute/detail/targetlimit/limitexchange.h>

#include "targetlimitjudge.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute {

/// Entries that send calls to one target with a limit, over a network that loses and delays datagrams.
///
/// The target names its limit from `Naming` on. Calls wait for permits until their deadline. A schedule of troubles is
/// drawn from the seed.
class LimitPlay
{
public:
    struct Options {
        std::size_t entries = 3;
        double perSecond = 1.2;
        double callsPerSecond = 0; ///< Of all entries; 0 for ten times the limit, and at least two a second.
        Duration length = std::chrono::seconds(30);
        double lossRate = 0;
        std::size_t restarts = 0;
        std::size_t freezes = 0;
        std::size_t cuts = 0;
        std::size_t joins = 0; ///< Entries that start for the first time after the limit was named.
        std::size_t moves = 0; ///< Changes of the limit.
        bool ends = false; ///< The limit ends midway and begins again.
        bool isolates = false; ///< All datagrams are lost for ten seconds, which excuses no entry.
        bool shares = true; ///< A deliberate fault if not: each entry issues its own permits.
    };

    LimitPlay(const Options &options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_entries(options.entries)
    {
        for (std::size_t i = 0; i < options.entries; ++i) {
            start(i);
        }
        drawTroubles();
    }

    TargetLimitJudge judge;
    std::size_t expired = 0; ///< Calls whose deadline passed.
    std::size_t sent = 0;
    std::uint64_t datagrams = 0;

    /// @brief Part of the limit that was used from the second at which the bound begins, while calls waited.
    double use() const
    {
        return m_allowed > 0 ? static_cast<double>(m_used) / m_allowed : 1;
    }

    void run()
    {
        const TimePoint end = m_naming + m_options.length;
        while (m_now < end) {
            step();
        }
    }

private:
    static constexpr Duration StepLength = std::chrono::milliseconds(5);
    static constexpr Duration Way = std::chrono::milliseconds(3); ///< Of a datagram, and of a call to the target.
    static constexpr Duration Settling = std::chrono::seconds(8); ///< From the start to the first limit.
    static constexpr Duration CallDeadline = std::chrono::seconds(3);

    struct Entry {
        std::uint64_t incarnation = 0;
        std::unique_ptr<CustomerRateLimiter> pool;
        std::unique_ptr<TargetLimits> limits;
        std::unique_ptr<LimitExchange> exchange;
        std::deque<TimePoint> waiting; ///< Deadlines of calls.
        TimePoint downUntil = TimePoint::min(); ///< Restarting or frozen.
        TimePoint cutUntil = TimePoint::min();
    };
    struct Datagram {
        TimePoint arrives{};
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        std::optional<EntryReport> report;
        LimitReport limits;
        TimePoint sentAt{};
    };
    struct Trouble {
        TimePoint at{};
        enum class Kind {
            Restart,
            Freeze,
            Cut,
            Join,
            Move,
            End,
        } kind = Kind::Restart;
        std::size_t entry = 0; ///< For Kind::Join.
    };

    static std::string addressOf(std::size_t index)
    {
        return "10.0.0." + std::to_string(index + 1);
    }
    static std::size_t indexOf(const std::string &address)
    {
        return std::stoul(address.substr(address.rfind('.') + 1)) - 1;
    }
    bool happens(double chance)
    {
        return std::uniform_real_distribution<double>()(m_random) < chance;
    }
    void start(std::size_t index)
    {
        Entry &entry = m_entries[index];
        entry.incarnation = ++m_incarnation;
        entry.pool = std::make_unique<CustomerRateLimiter>(addressOf(index), entry.incarnation, ServingBounds(), m_now);
        entry.limits = std::make_unique<TargetLimits>();
        entry.exchange = std::make_unique<LimitExchange>(addressOf(index), m_now, *entry.limits);
        entry.waiting.clear();
    }
    void drawTroubles()
    {
        const auto draw = [this](std::size_t count, Trouble::Kind kind) {
            for (std::size_t i = 0; i < count; ++i) {
                const double at = std::uniform_real_distribution<double>(0, toSeconds(m_options.length))(m_random);
                m_troubles.push_back({m_naming + fromSeconds(at), kind});
            }
        };
        draw(m_options.restarts, Trouble::Kind::Restart);
        draw(m_options.freezes, Trouble::Kind::Freeze);
        draw(m_options.cuts, Trouble::Kind::Cut);
        draw(m_options.moves, Trouble::Kind::Move);
        for (std::size_t i = 0; i < m_options.joins; ++i) {
            const std::size_t index = m_entries.size() - 1 - i;
            const double at = std::uniform_real_distribution<double>(0, toSeconds(m_options.length))(m_random);
            m_entries[index].downUntil = m_naming + fromSeconds(at);
            m_troubles.push_back({m_entries[index].downUntil, Trouble::Kind::Join, index});
        }
        if (m_options.ends) {
            m_troubles.push_back({m_naming + m_options.length / 2, Trouble::Kind::End});
        }
    }
    void step()
    {
        m_now += StepLength;
        applyTroubles();
        deliver();
        arriveCalls();
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (m_now >= m_entries[i].downUntil) {
                advance(i);
            }
        }
        countUse();
    }
    void applyTroubles()
    {
        if (m_now >= m_naming && !m_limit && !m_hasEnded) {
            setLimit(m_options.perSecond);
        }
        if (m_hasEnded && m_now >= m_endedUntil) {
            m_hasEnded = false;
        }
        for (auto trouble = m_troubles.begin(); trouble != m_troubles.end();) {
            if (trouble->at > m_now) {
                ++trouble;
                continue;
            }
            begin(*trouble);
            trouble = m_troubles.erase(trouble);
        }
    }
    void begin(const Trouble &trouble)
    {
        const std::size_t index = m_random() % m_entries.size();
        Entry &entry = m_entries[index];
        const auto duration = std::chrono::milliseconds(300 + m_random() % 5000);
        switch (trouble.kind) {
        case Trouble::Kind::Join:
            start(trouble.entry);
            return;
        case Trouble::Kind::Restart:
            start(index);
            entry.downUntil = m_now + std::chrono::seconds(1);
            excuse(index, entry.downUntil);
            return;
        case Trouble::Kind::Freeze:
            entry.downUntil = m_now + duration;
            excuse(index, entry.downUntil);
            return;
        case Trouble::Kind::Cut:
            entry.cutUntil = m_now + duration;
            excuse(index, entry.cutUntil);
            return;
        case Trouble::Kind::Move:
            if (m_limit) {
                setLimit(m_options.perSecond * std::uniform_real_distribution<double>(0.5, 2)(m_random));
            }
            return;
        case Trouble::Kind::End:
            setLimit(std::nullopt);
            m_hasEnded = true;
            m_endedUntil = m_now + std::chrono::seconds(3);
            return;
        }
    }
    void setLimit(std::optional<double> perSecond)
    {
        m_limit = perSecond;
        judge.name(perSecond, m_now);
    }
    // An entry is excused until it has been without trouble for as long as the bound takes to begin.
    void excuse(std::size_t index, TimePoint until)
    {
        judge.excuse(index);
        m_excusedUntil[index] = std::max(m_excusedUntil[index], until + TargetLimitJudge::FirstWindowEnds);
    }
    bool isExcused(std::size_t index)
    {
        return m_now < m_excusedUntil[index];
    }
    void deliver()
    {
        while (!m_datagrams.empty() && m_datagrams.front().arrives <= m_now) {
            const Datagram datagram = std::move(m_datagrams.front());
            m_datagrams.pop_front();
            Entry &receiver = m_entries[datagram.to];
            const bool isCut = m_now < receiver.cutUntil || m_now < m_entries[datagram.from].cutUntil;
            if (m_now < receiver.downUntil || isCut || isIsolated() || happens(m_options.lossRate)) {
                continue;
            }
            if (datagram.report) {
                receiver.pool->receive(*datagram.report, m_now);
            }
            LimitReport report = datagram.limits;
            for (LimitNotice &notice : report.notices) {
                notice.limit.at += m_now - datagram.sentAt; // The way of the datagram counts as time.
            }
            receiver.exchange->receive(addressOf(datagram.from), datagram.incarnation, report, m_now);
        }
    }
    bool isIsolated() const
    {
        constexpr Duration Begin = std::chrono::seconds(8);
        constexpr Duration End = std::chrono::seconds(18);
        return m_options.isolates && m_now >= m_naming + Begin && m_now < m_naming + End;
    }
    void send(std::size_t from, std::size_t to, std::optional<EntryReport> report, LimitReport limits)
    {
        ++datagrams;
        m_datagrams.push_back(
            {m_now + Way, from, to, m_entries[from].incarnation, std::move(report), std::move(limits), m_now});
    }
    void arriveCalls()
    {
        const double rate = m_options.callsPerSecond > 0 ? m_options.callsPerSecond
                                                         : std::max(2.0, 10 * m_options.perSecond);
        m_callsDue += rate * toSeconds(StepLength);
        for (; m_callsDue >= 1; m_callsDue -= 1) {
            Entry &entry = m_entries[m_random() % m_entries.size()];
            if (m_now >= entry.downUntil) {
                entry.waiting.push_back(m_now + CallDeadline);
            }
        }
    }
    void advance(std::size_t index)
    {
        Entry &entry = m_entries[index];
        entry.pool->advance(m_now);
        if (entry.pool->reportDue() <= m_now) {
            const OutgoingReport outgoing = entry.pool->makeReport(m_now);
            for (std::size_t to = 0; to < m_entries.size(); ++to) {
                const std::string address = addressOf(to);
                const bool isReceiver = outgoing.receivers.empty()
                    || std::find(outgoing.receivers.begin(), outgoing.receivers.end(), address)
                        != outgoing.receivers.end();
                if (to != index && isReceiver) {
                    send(index, to, entry.pool->reportFor(address, outgoing), {});
                }
            }
        }
        for (; !entry.waiting.empty() && entry.waiting.front() <= m_now; entry.waiting.pop_front()) {
            ++expired;
        }
        sendCalls(index);
        std::vector<PermitDemand> demands;
        if (!entry.waiting.empty()) {
            demands.push_back({m_target, static_cast<std::uint32_t>(entry.waiting.size()), 0});
        }
        const EntryMembership alone(addressOf(index), entry.incarnation, m_now - std::chrono::hours(1));
        const EntryMembership &members = m_options.shares ? entry.pool->members() : alone;
        for (LimitExchange::Outgoing &outgoing : entry.exchange->advance(members, demands, m_now)) {
            send(index, indexOf(outgoing.receiver), std::nullopt, std::move(outgoing.report));
        }
        sendCalls(index);
    }
    // A call is answered at once, with the limit in its answer.
    void sendCalls(std::size_t index)
    {
        Entry &entry = m_entries[index];
        while (!entry.waiting.empty() && entry.limits->use(m_target, m_now)) {
            entry.waiting.pop_front();
            ++sent;
            judge.arrive(index, m_now);
            m_used += m_limit && m_now >= m_naming + TargetLimitJudge::FirstWindowEnds ? 1 : 0;
            if (m_limit) {
                entry.limits->noteAnswer(m_target, {Born, m_limit, m_now});
                if (!isExcused(index)) {
                    judge.tell(index, m_now);
                }
            } else {
                entry.limits->noteAnswer(m_target, {Born, std::nullopt, m_now});
            }
        }
    }
    void countUse()
    {
        const bool anyWaits = std::any_of(m_entries.begin(), m_entries.end(), [](const Entry &entry) {
            return !entry.waiting.empty();
        });
        if (m_limit && anyWaits && m_now >= m_naming + TargetLimitJudge::FirstWindowEnds) {
            m_allowed += *m_limit * toSeconds(StepLength);
        }
    }

    static constexpr std::int64_t Born = 1'000;
    const std::string m_target = "i-1";

    Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    const TimePoint m_naming = m_now + Settling;
    std::uint64_t m_incarnation = 0;
    std::vector<Entry> m_entries;
    std::vector<Trouble> m_troubles;
    std::map<std::size_t, TimePoint> m_excusedUntil;
    std::deque<Datagram> m_datagrams;
    std::optional<double> m_limit;
    bool m_hasEnded = false;
    TimePoint m_endedUntil{};
    double m_callsDue = 0;
    std::size_t m_used = 0;
    double m_allowed = 0;
};

} // namespace celeryroute
