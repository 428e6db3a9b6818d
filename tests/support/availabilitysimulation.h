#pragma once

#include <celeryroute/detail/placement/enginechooser.h>
#include <celeryroute/detail/placement/plainchooser.h>
#include <celeryroute/detail/placement/targettable.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute::simulation {

/// What an entry of a simulated schedule serves, and which wishes of targets it heeds.
struct AvailabilityOptions {
    bool engines = false; ///< Engines, one or two of which hold the model, instead of a plain service.
    bool registryTellsBorn = true; ///< Otherwise only the agents report start times.
    bool heedsPauses = true;
    bool heedsLeaving = true;
};

/// Counts of one or more schedules.
struct AvailabilityReport {
    int calls = 0;
    int sent = 0;
    int pauses = 0; ///< Answers with a pause that reached the entry.
    int leavings = 0; ///< Answers that reached the entry and said that the target leaves.
    int restarts = 0;
    int outages = 0; ///< Of the store.
    int removals = 0; ///< Records of live targets that the registry lost.
    int arrivalsInPauses = 0; ///< Violation: beyond two, from half a second after the answer until the pause is over.
    int arrivalsAtLeaving = 0; ///< Violation: sent after the entry had heard from the target that it leaves.
    int neverUsedAgain = 0; ///< Violation: sound targets that get no calls long after the last fault.

    AvailabilityReport &operator+=(const AvailabilityReport &other);
};

/// One entry, and targets that ask for pauses, leave, crash and restart under their ids; in virtual time.
class AvailabilitySimulation
{
public:
    AvailabilitySimulation(std::uint64_t seed, const AvailabilityOptions &options);

    AvailabilityReport run();

private:
    struct Target {
        TargetRecord record;
        bool up = true;
        bool leaving = false;
        bool holdsModel = false;
        TimePoint restsUntil;
        std::int64_t bornMs = 0;
    };
    struct Pause {
        TimePoint answered;
        TimePoint until;
        int arrivals = 0;
    };
    using Event = std::function<void()>;

    std::uint64_t below(std::uint64_t limit);
    bool chance(double probability);
    Duration between(Duration least, Duration most);
    void after(Duration delay, Event event);

    void addTarget(int number);
    void step();
    void disturb(Target &target);
    void restart(Target &target, Duration down);
    void publish(Target &target);
    void report(const Target &target);
    void deliverRecords();
    void sendCall();
    std::string chooseTarget();
    void arrive(Target &target, CallTicket ticket, TimePoint sentAt);
    void answer(Target &target, CallTicket ticket);
    void checkArrival(const Target &target, TimePoint sentAt);
    void checkAllUsed();

    AvailabilityOptions m_options;
    AvailabilityReport m_report;
    std::mt19937_64 m_random;
    TimePoint m_now;
    TargetTable m_table{"entry", "here"};
    PlainChooser m_plainChooser;
    EngineChooser m_engineChooser;
    std::vector<Target> m_targets;
    std::multimap<TimePoint, Event> m_events;
    std::vector<Event> m_records; ///< Changes of the registry that the entry has not read, in order.
    TimePoint m_storeAwayUntil;
    bool m_faults = true;
    std::map<std::string, std::vector<Pause>> m_pauses;
    std::map<std::string, TimePoint> m_heardLeaving; ///< By target.
};

} // namespace celeryroute::simulation
