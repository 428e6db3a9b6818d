#pragma once

#include <celeryroute/detail/claims/claimcoordinator.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// Rules that a schedule can take away, to show that the checks notice.
enum class ClaimFault {
    None,
    TreatsTimeoutAsNotRun, ///< A dispatch without a reply is tombstoned.
    RedispatchesOnTimeout, ///< A dispatch without a reply goes to another agent.
    AgentForgetsClaims, ///< An agent starts what its memory holds, and messages arrive twice.
    DispatchesWithoutTableCheck, ///< A call is dispatched as soon as its append is answered.
};

/// What the checks of one schedule found and counted.
struct ClaimSimulationReport {
    int calls = 0;
    int answered = 0;
    int executions = 0;
    int repeats = 0;
    int crashes = 0;
    int pauses = 0;
    int lostAnswers = 0;
    int outages = 0;
    int doubleRuns = 0; ///< Violation.
    int falseNotRun = 0; ///< Violation.
    int unanswered = 0; ///< Violation.
    int wrongAnswers = 0; ///< Violation.
    int late = 0; ///< Violation: answered after the deadline by an entry that was not paused.
    int violations() const
    {
        return doubleRuns + falseNotRun + unanswered + wrongAnswers + late;
    }
};

/// @brief Entries, agents, one log and callers on one seeded random schedule.
class ClaimSimulation
{
public:
    ClaimSimulation(unsigned seed, ClaimFault fault);
    ClaimSimulationReport run(int steps);

private:
    struct Call {
        std::string id;
        std::string key;
        TimePoint deadline;
        std::string claimId;
        bool dispatched = false;
        bool wasPaused = false;
    };
    struct Entry {
        std::unique_ptr<ClaimCoordinator> coordinator;
        std::string incarnation;
        std::map<std::string, Call> calls;
        std::size_t shown = 0;
        int pausedSteps = 0;
    };
    struct Append {
        std::size_t entry = 0;
        std::string incarnation;
        PendingBatch batch;
        int delay = 0;
        bool answerLost = false;
    };
    struct Dispatch {
        std::size_t entry = 0;
        std::string callId;
        std::string claimId;
        std::string key;
        int delay = 0;
    };
    struct Agent {
        std::set<std::string> taken;
        std::vector<Dispatch> running;
    };

    bool chance(int percent);
    ClockReading now() const;
    void faults();
    void newCall();
    void stepEntry(std::size_t index);
    void stepAppends();
    void stepDispatches();
    void stepAgent(Agent &agent);
    void sendBatches(std::size_t index);
    void takeNotices(std::size_t index);
    void settleCalls(std::size_t index);
    void dispatch(std::size_t index, Call &call);
    void reply(const Dispatch &message, bool ran);
    void start(Agent &agent, const Dispatch &message);
    void answer(Entry &entry, const std::string &callId, RunState run, const std::string &body);
    void replaceEntry(std::size_t index);
    void finish();

    std::mt19937 m_random;
    ClaimFault m_fault;
    TimePoint m_now;
    std::vector<ClaimTable> m_log; ///< The table after each record.
    bool m_logDown = false;
    bool m_quiet = false;
    std::vector<Entry> m_entries;
    std::vector<Agent> m_agents;
    std::vector<Append> m_appends;
    std::vector<Dispatch> m_dispatches;
    std::map<std::string, std::string> m_executedClaimOfKey;
    std::set<std::string> m_executedClaims;
    std::set<std::string> m_notRunClaims;
    int m_incarnations = 0;
    ClaimSimulationReport m_report;
};

} // namespace celeryroute
