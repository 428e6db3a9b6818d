#pragma once

#include <celeryroute/detail/residency/loadcontroller.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace celeryroute::test {

/// Faults of a simulated schedule and their probabilities for each step, order or answer.
struct ScheduleFaults {
    bool engineChecksFencing = true;
    double loseAnswer = 0.15;
    double engineDies = 0.004;
    double agentRestarts = 0.004;
    double pauseBeforeSend = 0.05;
    double storeFails = 0.05;
};

/// @brief Simulates a LoadController, an engine and changing grants, driven by one random seed.
///
/// The engine never checks its memory, so that check() detects an overcommit.
class ResidencySimulation
{
public:
    ResidencySimulation(std::uint64_t seed, ScheduleFaults faults);

    /// @brief Advances the time and simulates random events. Returns the first violated invariant, or "".
    std::string step();
    /// @brief Stops all faults and runs until no request waits. Returns false if a request is never served
    /// or an invariant is violated.
    bool runUntilServed();
    std::size_t ordersSent() const;
    std::size_t readyRequests() const;

private:
    struct OrderInTransit {
        ModelOrder order;
        TimePoint arrives;
        bool answered = true; ///< Whether the controller still waits for the answer.
    };
    struct EngineItem {
        ItemPhase phase = ItemPhase::Loading;
        std::uint32_t memoryMb = 0;
        std::uint32_t version = 0;
        std::uint64_t fencing = 0;
        std::uint64_t order = 0;
        TimePoint until;
        bool answered = false;
        bool fails = false;
    };

    bool chance(double probability);
    Duration randomDuration(int minMs, int maxMs);
    const std::string &randomItem();
    void changeGrants();
    void useItems();
    void runController();
    void perform(const ResidencyAction &action);
    void send(const ModelOrder &order);
    void answer(std::uint64_t order, OrderOutcome outcome);
    void deliver();
    void arrive(const OrderInTransit &transit);
    void advanceEngine();
    void killEngine();
    void restartAgent();
    void finishInventory();
    EngineInventory inventory() const;
    std::string check() const;

    ScheduleFaults m_faults;
    std::mt19937_64 m_random;
    TimePoint m_now;
    LoadControllerSettings m_settings;
    std::unique_ptr<LoadController> m_controller;
    GrantTable m_grants;
    std::uint64_t m_offset = 1;
    std::vector<OrderInTransit> m_transit;
    std::map<std::string, EngineItem> m_engine;
    std::map<std::string, std::uint64_t> m_highestFencing;
    std::map<std::string, std::uint32_t> m_waiting;
    std::vector<std::string> m_uses;
    bool m_reading = false;
    TimePoint m_readStarted;
    TimePoint m_readEnds;
    std::string m_violation;
    std::size_t m_orders = 0;
    std::size_t m_readyRequests = 0;
};

} // namespace celeryroute::test
