#pragma once

#include <celeryroute/detail/placement/heardmessage.h>
#include <celeryroute/detail/placement/targethealth.h>
#include <celeryroute/detail/placement/targetview.h>
#include <celeryroute/detail/placement/urgencyload.h>
#include <celeryroute/detail/serving/targetrecord.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

using CallTicket = std::uint64_t;

/// Load of a target that this entry did not send.
struct ForeignLoad {
    double running = 0;
    double waiting = 0;
    double cacheTokens = 0;
    TimePoint at;
    bool heard = false;
    bool operator==(const ForeignLoad &) const = default;
};

/// Calls of this entry that a target has in work.
struct OwnLoad {
    std::uint32_t calls = 0;
    std::uint32_t waiting = 0; ///< Without a first event yet.
    UrgencyLoad waitingTokens; ///< Of prompts, still to be read.
    std::uint64_t cacheTokens = 0; ///< Held when all have ended.
    std::unordered_map<std::string, std::uint32_t> items;
    std::vector<CallTicket> tickets;
    bool operator==(const OwnLoad &) const = default;
};

/// What an entry knows of one lifetime of a target.
struct KnownTarget {
    /// After which the registry's models count.
    static constexpr Duration AgentSilence = std::chrono::seconds(2);

    KnownTarget();

    TargetRecord record;
    std::uint64_t digest = 0; ///< Of its id.
    std::uint32_t lifetime = 0; ///< Differs from that of all other targets and lifetimes.
    std::int64_t bornMs = 0;
    bool registered = false; ///< The registry names it now.
    std::optional<TargetView> view;
    TimePoint viewHeard;
    std::optional<HeardMessage> viewMessage; ///< That brought the view.
    TargetHealth health;
    RelaxingMean latency; ///< Seconds of an answer, or factor on the usual time of an engine's first event.
    OwnLoad own;
    ForeignLoad foreign;
    std::uint32_t slots = 0;
    std::uint64_t clock = 0; ///< Prompt tokens that this entry has sent it.
    TimePoint fullUntil; ///< It refused a call for lack of room.
    std::vector<std::string> indexedModels;
    std::vector<std::string> indexedLoading;
    std::vector<std::string> indexedCopies;

    /// @brief Whether new calls may go there.
    bool open() const;
    /// @brief Whether its agent was heard lately.
    bool viewFresh(TimePoint now) const;
    /// @brief The message of its agent that counts now.
    std::optional<HeardMessage> heardMessage(TimePoint now) const;
    const std::vector<ResidentModel> &models(TimePoint now) const;
    const ResidentModel *model(const std::string &name, TimePoint now) const;
    const LocalCopies &copies(TimePoint now) const;
    /// @brief Time until @p item is loaded, as its agent said; nothing if it is not being loaded.
    std::optional<Duration> loadingFor(const std::string &item, TimePoint now) const;
    /// @brief Time until it has carried out the loads of models that its agent has told of.
    Duration busyFor(TimePoint now) const;
    /// @brief Time until a load from the weight store may begin there, as far as its agent has said.
    Duration storeWait(TimePoint now) const;
    bool declines(const std::string &item, TimePoint now) const;
    /// @brief Share of the foreign load that is still credible.
    double credit(TimePoint now) const;
    double running(TimePoint now) const;
    double waiting(TimePoint now) const;
    double cacheTokens(TimePoint now) const;
};

} // namespace celeryroute
