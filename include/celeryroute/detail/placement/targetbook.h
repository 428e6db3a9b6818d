#pragma once

#include <celeryroute/detail/placement/enginecall.h>
#include <celeryroute/detail/placement/knowntarget.h>
#include <celeryroute/detail/placement/servedload.h>
#include <celeryroute/detail/placement/targetpool.h>
#include <celeryroute/detail/serving/servingstate.h>

#include <memory>
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

    void setState(const ServingState &state);
    /// @brief Number of entries that share the traffic, this one included.
    void setEntries(std::uint32_t entries);

    ChangedModels setRecord(const TargetRecord &record, TimePoint now);
    ChangedModels dropRecord(const std::string &id, TimePoint now);
    ChangedModels setView(const std::string &id, const TargetView &view, TimePoint now);
    void noteLoad(const std::string &id, const ServedLoad &load, TimePoint now);

    CallTicket noteSent(const std::string &id, TimePoint now);
    CallTicket noteSent(const std::string &id, const EngineCall &call, TimePoint now);
    ChangedModels noteFirstEvent(CallTicket ticket, TimePoint now);
    ChangedModels noteEnded(CallTicket ticket, CallEnd end, TimePoint now);

    const KnownTarget *target(const std::string &id) const;
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
    void beginLifetime(KnownTarget &target, std::int64_t bornMs);
    void unindex(KnownTarget &target);
    ChangedModels reindex(KnownTarget &target, TimePoint now);
    CallTicket open(KnownTarget &target, PlacedCall call);
    void leaveQueue(const PlacedCall &call);
    void observe(TargetPool &pool, KnownTarget &target, const PlacedCall &call, TimePoint now);
    void judge(TargetPool &pool, KnownTarget &target, const PlacedCall &call, CallEnd end, TimePoint now);
    void forgetIfGone(const std::string &id);

    std::string m_name;
    std::string m_domain;
    std::uint32_t m_entries = 1;
    std::uint32_t m_lifetimes = 0;
    CallTicket m_tickets = 0;
    std::size_t m_registered = 0;
    std::unordered_map<std::string, std::unique_ptr<KnownTarget>> m_targets;
    std::unordered_map<std::string, std::unique_ptr<TargetPool>> m_pools;
    std::unordered_map<CallTicket, PlacedCall> m_calls;
};

} // namespace celeryroute
