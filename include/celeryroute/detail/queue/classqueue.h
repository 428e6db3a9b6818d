#pragma once

#include <celeryroute/detail/queue/queueentry.h>

#include <absl/container/node_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace celeryroute {

/// Start-time fair queueing of tokens between the customers of one urgency class.
///
/// Holds only entries that may start now. Within a customer the entry with the earliest deadline starts
/// first. The start tag of a customer that used less than its share may be behind the virtual time by up
/// to @p burstCredit tokens per unit of weight. The customer may use this credit before the others.
class ClassQueue
{
public:
    explicit ClassQueue(double burstCredit);

    void insert(const QueueEntry &entry, std::uint64_t sequence);
    void erase(const QueueEntry &entry, std::uint64_t sequence);

    /// @brief Sequence of the entry to start next. Empty if none waits.
    std::optional<std::uint64_t> front() const;

    /// @brief Removes the front entry, which must be @p entry, and charges its customer.
    void popFront(const QueueEntry &entry, std::uint64_t sequence);

    /// @brief Adds @p tokens to the tokens charged to @p customer. A negative value is a refund.
    void correctCharge(const std::string &customer, double tokens);

    /// @brief Estimated service time of the entries that start before a new @p entry.
    Duration serviceAhead(const QueueEntry &entry) const;

    Duration totalService() const
    {
        return m_service;
    }
    bool empty() const
    {
        return m_active.empty();
    }
    /// @brief Number of customers with a stored state, with or without waiting entries.
    std::size_t customers() const
    {
        return m_flows.size();
    }

private:
    using EntryKey = std::pair<TimePoint, std::uint64_t>;

    /// Fair-queueing state of one customer.
    struct Flow {
        std::string customer;
        double weight = 1.0;
        double startTag = 0.0; ///< Virtual start time of the customer's next entry.
        std::set<EntryKey> entries;
        Duration service{};
    };
    using ActiveKey = std::tuple<double, TimePoint, std::uint64_t, Flow *>;

    ActiveKey activeKey(Flow &flow) const;
    Flow &flowOf(const QueueEntry &entry);
    void activate(Flow &flow);
    void deactivate(Flow &flow);
    void reinsert(Flow &flow);
    void dropIdleFlows();

    /// @brief Lowest start tag that a customer may have, which is the full burst credit.
    double minStartTag() const
    {
        return m_virtualTime - m_burstCredit;
    }

    double m_burstCredit;
    double m_virtualTime = 0.0;
    double m_activeWeight = 0.0;
    Duration m_service{};
    absl::node_hash_map<std::string, Flow> m_flows;
    std::set<ActiveKey> m_active;
    std::set<std::pair<double, std::string>> m_idle;
};

} // namespace celeryroute
