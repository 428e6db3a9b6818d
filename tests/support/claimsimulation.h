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

/// Bugs that a simulation can inject to show that its checks detect them.
enum class ClaimFault {
    None,
    TreatsTimeoutAsNotRun, ///< A dispatch without a reply is recorded as not run.
    RedispatchesOnTimeout, ///< A dispatch without a reply is sent to another agent.
    AgentForgetsClaims, ///< Dispatches arrive twice, and an agent starts claims that it has already started.
    DispatchesWithoutTableCheck, ///< A call is dispatched when its append is confirmed, without checking the table.
};

/// Counts and violations of one simulation.
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
    int late = 0; ///< Violation: answered after the deadline although the entry was not paused.
    int violations() const
    {
        return doubleRuns + falseNotRun + unanswered + wrongAnswers + late;
    }
};

/// @brief Simulates entries, agents, a log and callers with a seeded random schedule of faults.
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
        std::set<std::string> knownClaimIds;
        std::vector<Dispatch> running;
    };

    bool chance(int percent);
    ClockReading now() const;
    void injectFaults();
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
    bool m_faultFree = false;
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
