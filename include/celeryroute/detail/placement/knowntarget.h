#pragma once

#include <celeryroute/detail/placement/heardmessage.h>
#include <celeryroute/detail/placement/priorityload.h>
#include <celeryroute/detail/placement/targethealth.h>
#include <celeryroute/detail/placement/targetview.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

using CallTicket = std::uint64_t;

/// Load of a target from calls that this entry did not send.
struct ForeignLoad {
    double running = 0;
    double waiting = 0;
    double cacheTokens = 0;
    TimePoint at;
    bool heard = false;
    bool operator==(const ForeignLoad &) const = default;
};

/// Calls of this entry that are in flight at a target.
struct OwnLoad {
    std::uint32_t calls = 0;
    std::uint32_t waiting = 0; ///< Calls without a first event yet.
    PriorityLoad waitingTokens; ///< Prompt tokens still to be prefilled, by priority.
    std::uint64_t cacheTokens = 0; ///< KV cache tokens that all these calls occupy at their end.
    std::unordered_map<std::string, std::uint32_t> items;
    std::vector<CallTicket> tickets;
    bool operator==(const OwnLoad &) const = default;
};

/// What an entry knows of one lifetime of a target, that is, from one start of its process to the next.
struct KnownTarget {
    /// If the agent was silent for longer, the models of the registry's record are used instead of its report.
    static constexpr Duration MaxAgentSilence = std::chrono::seconds(2);

    KnownTarget();

    TargetRecord record;
    std::uint64_t digest = 0; ///< Hash of the target ID.
    std::uint32_t lifetime = 0; ///< Unique over all targets and their lifetimes.
    std::int64_t bornMs = 0;
    bool registered = false; ///< Whether the registry has a record of the target.
    bool evacuated = false; ///< Operators have evacuated its failure domain.
    bool paused = false; ///< The target asked to get no calls for a while.
    bool leaving = false; ///< The target said in an answer that it is leaving, in this lifetime or an earlier one.
    bool leavingByAgent = false; ///< The agent told that the target is leaving in this lifetime.
    std::optional<TargetView> view;
    TimePoint viewReceivedAt;
    std::optional<HeardMessage> viewMessage; ///< The message that carried the view.
    TargetHealth health;
    DecayingMean latency; ///< Plain service: seconds of an answer. Engine: ratio of the time to the first event to the
                          ///< predicted time.
    OwnLoad own;
    ForeignLoad foreign;
    std::uint32_t slots = 0;
    std::uint64_t sentTokens = 0; ///< Uncached prompt tokens that this entry has sent to the target.
    TimePoint atCapacityUntil; ///< The target gets no calls until then, because it refused one for lack of capacity.
    std::vector<std::string> indexedModels;
    std::vector<std::string> indexedLoading;
    std::vector<std::string> indexedCopies;

    bool isLeaving() const
    {
        return leaving || leavingByAgent;
    }
    /// @brief Whether the target may get new calls.
    bool acceptsCalls() const;
    /// @brief Whether the last report of the agent is recent enough to be used.
    bool isViewFresh(TimePoint now) const;
    /// @brief The message that carried the view, while the view is fresh.
    std::optional<HeardMessage> heardMessage(TimePoint now) const;
    const std::vector<ResidentModel> &models(TimePoint now) const;
    const ResidentModel *model(const std::string &name, TimePoint now) const;
    const LocalCopies &copies(TimePoint now) const;
    /// @brief Time until @p item is loaded, as the agent reported; empty if the item is not being loaded.
    std::optional<Duration> loadingFor(const std::string &item, TimePoint now) const;
    /// @brief Time until all model loads that the agent reported are complete.
    Duration busyFor(TimePoint now) const;
    /// @brief Time until a load from the weight store may begin there, as the agent reported.
    Duration storeWait(TimePoint now) const;
    /// @brief Whether the agent reported that it cannot load @p item now.
    bool declines(const std::string &item, TimePoint now) const;
    /// @brief Weight of the foreign load, from 0 to 1; it decays with the age of the report.
    double foreignWeight(TimePoint now) const;
    double running(TimePoint now) const;
    double waiting(TimePoint now) const;
    double cacheTokens(TimePoint now) const;
};

} // namespace celeryroute
