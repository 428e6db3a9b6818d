#pragma once

#include "staterecords.h"

#include <celeryroute/detail/platform/memorylog.h>
#include <celeryroute/detail/state/statefollower.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace celeryroute::test {

/// Simulates several processes that follow one log and exchange offsets, on a virtual clock.
class FollowerSimulation
{
public:
    struct Process {
        explicit Process(const std::string &name, TimePoint now, const SnapshotPolicy &policy);

        StateStore store;
        StateFollower follower;
        std::map<std::string, RecordResult> results;
        bool paused = false; ///< The process takes no steps.
        bool cutOffFromLog = false;
        bool cutOffFromPeers = false;
    };

    MemoryLog log;
    TimePoint now{std::chrono::hours(1)};
    SnapshotPolicy policy;

    Process &start(const std::string &name);
    void stop(const std::string &name);
    Process &process(const std::string &name);
    std::vector<std::string> names() const;
    /// @brief Steps every process once per 250 ms of virtual time for @p duration.
    void run(Duration duration);

private:
    void step(const std::string &name, Process &process);
    void carryOut(Process &process, const FollowerAction &action);
    void exchangeOffsets(const std::string &name, Process &process);

    std::map<std::string, std::unique_ptr<Process>> m_processes;
};

} // namespace celeryroute::test
