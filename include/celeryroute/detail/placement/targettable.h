#pragma once

#include <celeryroute/detail/base/recententries.h>
#include <celeryroute/detail/placement/coldchange.h>
#include <celeryroute/detail/placement/enginecall.h>
#include <celeryroute/detail/placement/healthchange.h>
#include <celeryroute/detail/placement/knowntarget.h>
#include <celeryroute/detail/placement/leavingchange.h>
#include <celeryroute/detail/placement/pausedtargets.h>
#include <celeryroute/detail/placement/poolversions.h>
#include <celeryroute/detail/placement/reportedload.h>
#include <celeryroute/detail/placement/sentcall.h>
#include <celeryroute/detail/placement/targetload.h>
#include <celeryroute/detail/placement/targetpool.h>
#include <celeryroute/detail/serving/endedlifetimes.h>
#include <celeryroute/detail/serving/servingstate.h>
#include <celeryroute/detail/targetlimit/targetlimits.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace celeryroute {

/// How a call ended, from the point of view of its target.
enum class CallEnd {
    Answered,
    Failed, ///< The target answered with an error or broke off its answer.
    Unreachable, ///< The connection failed, was reset before any answer, or stayed silent.
    Full, ///< The target refused to run the call for lack of room.
    NotResident, ///< The target did not run the call since it does not hold the item.
    Abandoned, ///< The caller disconnected or the entry gave up; says nothing about the target.
};

/// Names of models whose waiting calls should be decided on again after a change.
using ChangedModels = std::vector<std::string>;

/// What an entry knows of all targets: registry records, agent reports, health, and the calls in flight.
class TargetTable
{
public:
    /// @brief @p name is the name of the entry, @p domain its failure domain.
    TargetTable(std::string name, std::string domain);
    ~TargetTable();
    TargetTable(const TargetTable &) = delete;
    TargetTable &operator=(const TargetTable &) = delete;

    /// @brief Sets the function that is called whenever a target is ejected or returns to service.
    void onHealthChange(std::function<void(const HealthChange &)> changed);
    /// @brief Sets the function that is called whenever a target is said to be leaving, or no longer counts as such.
    void onLeavingChange(std::function<void(const LeavingChange &)> changed);

    /// @brief Sets the function that is called whenever a target begins to count as cold.
    void onColdChange(std::function<void(const ColdChange &)> changed);

    /// @brief Takes over the desired state of all pools.
    void setState(const ServingState &state);
    /// @brief Applies the cold times of the records that were read before the desired state of their pools.
    void noteColdRecords(TimePoint now);
    /// @brief Sets the number of entries that share the traffic, this one included.
    void setEntries(std::uint32_t entries);

    /// @brief Sets the failure domains whose targets get no calls.
    ChangedModels setEvacuated(const std::set<std::string> &domains, TimePoint now);
    const std::set<std::string> &evacuated() const
    {
        return m_evacuated;
    }
    /// @brief Number of registered targets of evacuated domains.
    std::size_t evacuatedCount() const;
    /// @brief Whether @p pool has targets, all of which are in evacuated domains.
    bool isEvacuated(const std::string &pool) const;
    /// @brief Models that targets of evacuated domains hold, by pool.
    std::map<std::string, std::vector<std::string>> evacuatedModels() const;

    /// @brief Takes over the record of a target from the registry. Another start time begins a new lifetime.
    ChangedModels setRecord(const TargetRecord &record, TimePoint now);
    /// @brief Removes the record of a target; its data is kept until its calls have ended.
    ChangedModels removeRecord(const std::string &id, TimePoint now);
    /// @brief Notes that all records equal those of the registry at @p readBegan.
    void confirmRecords(TimePoint readBegan);
    /// @brief When the newest read of the registry began that has been answered.
    std::optional<TimePoint> recordsConfirmed() const
    {
        return m_recordsConfirmed;
    }
    /// @brief Software versions of the registered targets, now and before.
    const PoolVersions &versions() const
    {
        return m_versions;
    }
    PoolVersions &versions()
    {
        return m_versions;
    }
    /// @brief Limits that targets have named.
    const TargetLimits &limits() const
    {
        return m_limits;
    }
    TargetLimits &limits()
    {
        return m_limits;
    }
    /// @brief Takes over the report of an agent; a report of an earlier lifetime is ignored.
    ChangedModels setView(const std::string &id,
                          const TargetView &view,
                          TimePoint now,
                          std::optional<HeardMessage> message = std::nullopt);
    /// @brief Updates the load in the last report of an agent. Ignored if the report is of another state than @p load.
    ChangedModels setViewLoad(const std::string &id,
                              const TargetLoad &load,
                              TimePoint now,
                              std::optional<HeardMessage> message = std::nullopt);
    /// @brief Takes over the load that a target reported in an answer, unless a report of its agent is fresh.
    void noteLoad(const std::string &id, const ReportedLoad &load, TimePoint now);

    /// @brief Records that a target said in its answer to a call that it is leaving. It gets no further calls under
    /// this id, whatever the registry says and also after a restart.
    /// @param request id of the call
    void noteLeaving(const std::string &id, const std::string &request, TimePoint now);

    /// @brief Records that a target asked to get no calls until @p until. Of several pauses the longest counts. A pause
    /// outlasts restarts of the target and the removal of its record.
    void notePause(const std::string &id, TimePoint until, TimePoint now);
    /// @brief Ends the pauses that are over.
    ChangedModels resumePaused(TimePoint now);
    /// @brief End of the first pause, if there is one.
    std::optional<TimePoint> nextResume() const;
    /// @brief End of the pause of a target, if it pauses.
    std::optional<TimePoint> pausedUntil(const std::string &id) const;
    /// @brief If targets of @p pool pause, the time until the first of them may get calls.
    std::optional<Duration> pauseLeft(const std::string &pool, TimePoint now) const;

    /// @brief Records that a call to a plain service was sent; 0 if the target is unknown.
    CallTicket noteSent(const std::string &id, TimePoint now);
    /// @brief Records that a call to an engine was sent; 0 if the target is unknown.
    CallTicket noteSent(const std::string &id, const EngineCall &call, TimePoint now);
    ChangedModels noteFirstEvent(CallTicket ticket, TimePoint now);
    /// @brief Records that the target of a call in flight is silent for longer than it should be.
    void noteSilent(CallTicket ticket, TimePoint now);
    ChangedModels noteEnded(CallTicket ticket, CallEnd end, TimePoint now);

    const KnownTarget *target(const std::string &id) const;
    /// @brief Age of the data on @p target that decisions use: its agent's report if fresh, else the registry records.
    std::optional<Duration> ageOf(const KnownTarget &target, TimePoint now) const;
    /// @brief Estimated prompt tokens that the target of a call in flight has to prefill; 0 for an unknown call.
    std::uint64_t uncachedTokens(CallTicket ticket) const;
    const TargetPool *pool(const std::string &name) const;
    TargetPool *pool(const std::string &name);
    const std::string &name() const;
    const std::string &domain() const;
    std::uint32_t entries() const;
    /// @brief Number of targets with a record in the registry.
    std::size_t size() const;

private:
    KnownTarget &findOrCreate(const std::string &id);
    TargetPool &findOrCreatePool(const std::string &name);
    void beginLifetime(KnownTarget &target, std::int64_t bornMs, TimePoint now);
    /// @brief Takes over the start time of a lifetime of which it was not known.
    void learnBorn(KnownTarget &target, std::int64_t bornMs, TimePoint now);
    /// @brief Adds @p target to the counts of its pool, with @p change -1 removes it.
    void count(const KnownTarget &target, int change);
    void unindex(KnownTarget &target);
    ChangedModels reindex(KnownTarget &target, TimePoint now);
    CallTicket addCall(KnownTarget &target, SentCall call);
    void removeFromWaiting(const SentCall &call);
    void recordFirstEvent(TargetPool &pool, KnownTarget &target, const SentCall &call, TimePoint now);
    void recordOutcome(TargetPool &pool, KnownTarget &target, const SentCall &call, CallEnd end, TimePoint now);
    void notifyHealthChange(const KnownTarget &target,
                            const std::optional<TimePoint> &ejectedBefore,
                            std::string_view reason,
                            TimePoint now) const;
    void notifyLeavingChange(const KnownTarget &target, std::string_view reason, const std::string &request = {}) const;
    /// @brief Takes over whether the agent told that the target leaves in the lifetime that is known now.
    void updateLeavingByAgent(KnownTarget &target);
    /// @brief Limits what @p target gets while it is cold, if its pool has a limit for that.
    void noteCold(const KnownTarget &target, Duration remaining, std::string_view source, TimePoint now);
    /// @brief Limits what @p target gets for as long as its record says that it is cold.
    void noteColdRecord(const KnownTarget &target, TimePoint now);
    void eraseIfUnused(const std::string &id);

    std::string m_name;
    std::string m_domain;
    std::set<std::string> m_evacuated;
    std::uint32_t m_entries = 1;
    std::uint32_t m_lifetimes = 0;
    CallTicket m_tickets = 0;
    std::size_t m_registered = 0;
    std::optional<TimePoint> m_recordsConfirmed;
    std::function<void(const HealthChange &)> m_onHealthChange;
    std::function<void(const LeavingChange &)> m_onLeavingChange;
    std::function<void(const ColdChange &)> m_onColdChange;
    std::unordered_map<std::string, std::unique_ptr<KnownTarget>> m_targets;
    /// Targets that said in an answer that they are leaving, and are not in m_targets.
    RecentEntries<std::monostate> m_leaving{EndedLifetimes::MaxTargets};
    EndedLifetimes m_leavingByAgent; ///< Lifetimes in which agents told that their targets are leaving.
    PausedTargets m_pauses;
    TargetLimits m_limits;
    PoolVersions m_versions;
    std::unordered_map<std::string, std::unique_ptr<TargetPool>> m_pools;
    std::unordered_map<CallTicket, SentCall> m_calls;
};

} // namespace celeryroute
