#pragma once

#include <celeryroute/detail/placement/enginecall.h>
#include <celeryroute/detail/placement/knowntarget.h>
#include <celeryroute/detail/placement/servedload.h>
#include <celeryroute/detail/placement/standingchange.h>
#include <celeryroute/detail/placement/targetpool.h>
#include <celeryroute/detail/serving/servingstate.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryroute {

/// How a call ended, as far as it tells something about its target.
enum class CallEnd {
    Answered,
    Failed, ///< The target failed the call or broke off its answer.
    Unreachable, ///< No connection, a reset before any answer, or silence.
    Full, ///< Not run for lack of room.
    Misplaced, ///< Not run since the item is not there.
    Abandoned, ///< The caller left, or the entry gave up.
};

/// Models whose callers a change may concern.
using ChangedModels = std::vector<std::string>;

/// What an entry knows of all targets.
class TargetBook
{
public:
    /// @brief The entry is @p name in failure domain @p domain.
    TargetBook(std::string name, std::string domain);
    ~TargetBook();
    TargetBook(const TargetBook &) = delete;
    TargetBook &operator=(const TargetBook &) = delete;

    /// @brief @p changed is called whenever a target is shunned or restored.
    void onStanding(std::function<void(const StandingChange &)> changed);

    void setState(const ServingState &state);
    /// @brief Number of entries that share the traffic, this one included.
    void setEntries(std::uint32_t entries);

    ChangedModels setRecord(const TargetRecord &record, TimePoint now);
    ChangedModels dropRecord(const std::string &id, TimePoint now);
    /// @brief All records are as the registry had them at @p readBegan.
    void confirmRecords(TimePoint readBegan);
    ChangedModels setView(const std::string &id,
                          const TargetView &view,
                          TimePoint now,
                          std::optional<HeardMessage> message = std::nullopt);
    void noteLoad(const std::string &id, const ServedLoad &load, TimePoint now);

    CallTicket noteSent(const std::string &id, TimePoint now);
    CallTicket noteSent(const std::string &id, const EngineCall &call, TimePoint now);
    ChangedModels noteFirstEvent(CallTicket ticket, TimePoint now);
    ChangedModels noteEnded(CallTicket ticket, CallEnd end, TimePoint now);

    const KnownTarget *target(const std::string &id) const;
    /// @brief How old that is on which the choice of @p target rests; nothing when nobody knows.
    std::optional<Duration> ageOf(const KnownTarget &target, TimePoint now) const;
    /// @brief Tokens of the prompt of a call in work that its target has to read.
    std::uint64_t uncachedTokens(CallTicket ticket) const;
    const TargetPool *pool(const std::string &name) const;
    TargetPool *pool(const std::string &name);
    const std::string &name() const;
    const std::string &domain() const;
    std::uint32_t entries() const;
    /// @brief Targets whose records the registry holds.
    std::size_t size() const;

private:
    struct PlacedCall;

    KnownTarget &find(const std::string &id);
    TargetPool &poolOf(const std::string &name);
    void beginLifetime(KnownTarget &target, std::int64_t bornMs, TimePoint now);
    void unindex(KnownTarget &target);
    ChangedModels reindex(KnownTarget &target, TimePoint now);
    CallTicket open(KnownTarget &target, PlacedCall call);
    void leaveQueue(const PlacedCall &call);
    void observe(TargetPool &pool, KnownTarget &target, const PlacedCall &call, TimePoint now);
    void judge(TargetPool &pool, KnownTarget &target, const PlacedCall &call, CallEnd end, TimePoint now);
    void noteStanding(const KnownTarget &target,
                      const std::optional<TimePoint> &shunnedBefore,
                      std::string_view reason,
                      TimePoint now) const;
    void forgetIfGone(const std::string &id);

    std::string m_name;
    std::string m_domain;
    std::uint32_t m_entries = 1;
    std::uint32_t m_lifetimes = 0;
    CallTicket m_tickets = 0;
    std::size_t m_registered = 0;
    std::optional<TimePoint> m_recordsConfirmed;
    std::function<void(const StandingChange &)> m_standingChanged;
    std::unordered_map<std::string, std::unique_ptr<KnownTarget>> m_targets;
    std::unordered_map<std::string, std::unique_ptr<TargetPool>> m_pools;
    std::unordered_map<CallTicket, PlacedCall> m_calls;
};

} // namespace celeryroute
