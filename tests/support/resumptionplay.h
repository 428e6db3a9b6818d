#pragma once

#include <celeryroute/detail/gateway/streamorigins.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace celeryroute {

/// What callers saw in one ResumptionPlay.
struct ResumptionOutcome {
    std::size_t mixed = 0; ///< Streams with events of two software versions.
    std::size_t takenUp = 0; ///< Requests that take up a stream while two targets of its version serve.
    std::size_t continued = 0; ///< Those that went on.
    bool operator==(const ResumptionOutcome &) const = default;
};

/// Three entries whose targets are replaced, one after the other, by targets of another software version. Callers'
/// streams are cut and taken up at any entry; datagrams are lost or late; entries restart, and lose the store for a
/// time.
class ResumptionPlay
{
public:
    explicit ResumptionPlay(std::uint64_t seed)
        : m_random(seed)
        , m_lossRate(0.3 * fraction())
        , m_rollAt(std::chrono::milliseconds(5'000 + below(20'000)))
    {
        for (std::size_t i = 0; i < Targets; ++i) {
            m_targets.push_back({"v1"});
        }
        for (Entry &entry : m_entries) {
            start(entry);
        }
    }

    ResumptionOutcome run()
    {
        const TimePoint end = m_now + std::chrono::seconds(90);
        m_rollBegins = m_now + m_rollAt;
        while (m_now < end) {
            m_now += Step;
            roll();
            disturb();
            deliver();
            for (Entry &entry : m_entries) {
                readRegistry(entry);
                report(entry);
            }
            begin();
            continueStreams();
        }
        return m_outcome;
    }

private:
    inline static const std::vector<std::string> NoVersions;
    static constexpr Duration Step = std::chrono::milliseconds(50);
    static constexpr Duration VersionsCheck = std::chrono::seconds(1);
    static constexpr Duration FirstReports = std::chrono::seconds(3);
    static constexpr Duration MaxRegistryAge = std::chrono::seconds(15);
    static constexpr Duration RestartTime = std::chrono::seconds(1);
    static constexpr std::size_t Targets = 6;
    static constexpr std::size_t Entries = 3;

    struct Target {
        std::string version;
        std::size_t changes = 0;
    };
    struct Entry {
        StreamOrigins origins;
        PoolVersions versions;
        std::vector<Target> registry; ///< As the entry knows it.
        std::uint64_t incarnation = 0;
        TimePoint started;
        TimePoint storeReadAt; ///< Next time at which changes of the registry arrive.
        TimePoint confirmed;
        TimePoint cutOffUntil = TimePoint::min();
        TimePoint reportDue;
        std::map<std::size_t, TimePoint> heard;
    };
    struct Datagram {
        std::size_t from;
        std::size_t to;
        std::uint64_t incarnation;
        TimePoint arrives;
        TimePoint sent;
        StreamReport report;
    };
    struct Stream {
        std::string first; ///< Id of the request that brought the first event.
        std::string version;
        TimePoint cutAt;
        std::size_t entry;
        std::size_t resumptions = 0;
    };

    double fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }
    bool isUp(const Entry &entry) const
    {
        return m_now >= entry.started;
    }

    void start(Entry &entry)
    {
        entry = Entry();
        entry.incarnation = ++m_incarnations;
        entry.started = m_now;
        entry.storeReadAt = m_now;
        entry.reportDue = m_now;
    }

    void roll()
    {
        constexpr Duration Interval = std::chrono::seconds(4);
        if (m_rolled < Targets && m_now >= m_rollBegins + Interval * static_cast<int>(m_rolled)) {
            m_targets[m_rolled].version = "v2";
            ++m_targets[m_rolled].changes;
            ++m_rolled;
        }
    }

    void disturb()
    {
        Entry &entry = m_entries[below(Entries)];
        if (fraction() < 0.002) {
            const TimePoint back = m_now + RestartTime;
            start(entry);
            entry.started = back;
        } else if (fraction() < 0.002) {
            entry.cutOffUntil = m_now + std::chrono::milliseconds(below(20'000));
        }
    }

    void readRegistry(Entry &entry)
    {
        if (!isUp(entry) || m_now < entry.cutOffUntil || m_now < entry.storeReadAt) {
            return;
        }
        entry.storeReadAt = m_now + std::chrono::milliseconds(below(200));
        entry.confirmed = m_now;
        const bool isFirst = entry.registry.empty();
        entry.registry.resize(Targets);
        for (std::size_t i = 0; i < Targets; ++i) {
            Target &known = entry.registry[i];
            if (!isFirst && known.version != m_targets[i].version) {
                entry.versions.targetRemoved("pool", known.version, m_now);
            }
            if (isFirst || known.version != m_targets[i].version) {
                entry.versions.targetAdded("pool", m_targets[i].version, m_now);
            }
            known = m_targets[i];
        }
    }

    void report(Entry &entry)
    {
        if (!isUp(entry) || m_now < entry.reportDue) {
            return;
        }
        const StreamReport report = entry.origins.takeReport(entry.versions, m_now);
        const bool mixed = !entry.versions.mixedPools(m_now - StreamOrigins::Retention, m_now).empty();
        entry.reportDue = m_now + (mixed ? Step : VersionsCheck);
        const auto from = static_cast<std::size_t>(&entry - m_entries);
        for (std::size_t to = 0; to < Entries; ++to) {
            const bool cutOff = m_now < entry.cutOffUntil || m_now < m_entries[to].cutOffUntil;
            if (to == from || cutOff) {
                continue;
            }
            m_entries[to].heard[from] = m_now;
            if (report.versions.empty()) {
                continue;
            }
            if (fraction() >= m_lossRate) {
                const Duration delay = std::chrono::milliseconds(fraction() < 0.1 ? below(3'000) : below(20));
                m_datagrams.push_back({from, to, entry.incarnation, m_now + delay, m_now, report});
            }
        }
    }

    // Messages carry ages, so a late one makes what it says look newer.
    void deliver()
    {
        std::vector<Datagram> later;
        for (Datagram &datagram : m_datagrams) {
            if (datagram.arrives > m_now) {
                later.push_back(std::move(datagram));
                continue;
            }
            const Duration late = datagram.arrives - datagram.sent;
            for (VersionSighting &sighting : datagram.report.versions) {
                sighting.lastSeen += late;
            }
            for (StreamRecord &record : datagram.report.streams) {
                record.noted += late;
            }
            Entry &entry = m_entries[datagram.to];
            if (isUp(entry)) {
                entry.origins.receive(datagram.report,
                                      "10.0.0." + std::to_string(datagram.from),
                                      datagram.incarnation,
                                      entry.versions);
            }
        }
        m_datagrams = std::move(later);
    }

    bool areVersionsComplete(const Entry &entry) const
    {
        std::size_t heard = 0;
        for (const auto &[from, at] : entry.heard) {
            heard += m_now - at <= VersionsCheck + Step ? 1 : 0;
        }
        const bool isRegistryFresh = m_now - entry.confirmed <= MaxRegistryAge;
        return m_now - entry.started >= FirstReports && ((isRegistryFresh && heard > 0) || heard == Entries - 1);
    }

    /// @brief A target that @p entry would choose, of the version @p version if one is given.
    std::optional<std::size_t> choose(const Entry &entry, const std::optional<std::string> &version)
    {
        std::vector<std::size_t> fitting;
        for (std::size_t i = 0; i < entry.registry.size(); ++i) {
            // A target that was replaced refuses what was meant for its predecessor.
            const bool exists = entry.registry[i].changes == m_targets[i].changes;
            if (exists && (!version || entry.registry[i].version == *version)) {
                fitting.push_back(i);
            }
        }
        return fitting.empty() ? std::nullopt : std::optional(fitting[below(fitting.size())]);
    }

    void begin()
    {
        const std::size_t number = below(Entries);
        Entry &entry = m_entries[number];
        const auto target = isUp(entry) ? choose(entry, std::nullopt) : std::nullopt;
        if (!target) {
            return;
        }
        const std::string id = "r" + std::to_string(++m_requests);
        const std::string &version = m_targets[*target].version;
        entry.origins.note(streamDigest("alpha", id), {"pool", version}, m_now);
        m_streams.push_back({id, version, m_now + std::chrono::milliseconds(50 + below(6'000)), number});
    }

    void continueStreams()
    {
        std::vector<Stream> going;
        for (Stream &stream : m_streams) {
            const bool entryDied = !isUp(m_entries[stream.entry]);
            if ((m_now < stream.cutAt && !entryDied) || takeUp(stream)) {
                going.push_back(stream);
            }
        }
        m_streams = std::move(going);
    }

    bool takeUp(Stream &stream)
    {
        const std::size_t number = below(Entries);
        Entry &entry = m_entries[number];
        if (!isUp(entry) || entry.registry.empty() || stream.resumptions == 4) {
            return false;
        }
        std::size_t serving = 0;
        for (const Target &target : m_targets) {
            serving += target.version == stream.version ? 1 : 0;
        }
        const bool inTouch = m_now >= entry.cutOffUntil;
        const bool counts = serving >= 2 && inTouch;
        m_outcome.takenUp += counts ? 1 : 0;
        const Resumption resumption = entry.origins.resume(streamDigest("alpha", stream.first),
                                                           {"pool"},
                                                           "pool",
                                                           entry.versions,
                                                           areVersionsComplete(entry) ? std::optional(NoVersions)
                                                                                      : std::nullopt,
                                                           m_now);
        const auto *goesOn = std::get_if<ContinueStream>(&resumption);
        const auto target = goesOn == nullptr ? std::nullopt : choose(entry, goesOn->origin.softwareVersion);
        if (!target) {
            return false;
        }
        m_outcome.mixed += m_targets[*target].version != stream.version ? 1 : 0;
        m_outcome.continued += counts ? 1 : 0;
        entry.origins.note(streamDigest("alpha", stream.first), goesOn->origin, m_now);
        stream.entry = number;
        stream.cutAt = m_now + std::chrono::milliseconds(50 + below(6'000));
        ++stream.resumptions;
        return true;
    }

    std::mt19937_64 m_random;
    double m_lossRate;
    Duration m_rollAt;
    TimePoint m_now{std::chrono::hours(1)};
    TimePoint m_rollBegins;
    std::size_t m_rolled = 0;
    std::size_t m_requests = 0;
    std::uint64_t m_incarnations = 0;
    std::vector<Target> m_targets;
    Entry m_entries[Entries];
    std::vector<Datagram> m_datagrams;
    std::vector<Stream> m_streams;
    ResumptionOutcome m_outcome;
};

} // namespace celeryroute
