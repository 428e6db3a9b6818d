#pragma once

#include <celeryroute/detail/targetlimit/permitrequest.h>
#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute {

/// @brief Grants permits for one target, so that all entries together send it no more than its limit.
///
/// A token bucket is filled at the limit. The most urgent request is served first, then the entry that has waited
/// longest. Times must come from a clock that advances while the process is suspended.
class PermitIssuer
{
public:
    /// Time from the request for a permit until it may be used last.
    static constexpr Duration Validity = std::chrono::milliseconds(500);
    /// Time after which a request that was not repeated is dropped.
    static constexpr Duration RequestLifetime = std::chrono::milliseconds(400);
    /// Rate at which permits are granted at least, so that a target with a limit of 0 is asked whether it still has it.
    static constexpr double MinRate = 0.2; // Requests a second.

    /// @param phase from 0 to 1: the level at which the bucket begins. Entries that don't hear each other begin with
    /// different ones, so that they don't grant their first permits at the same time.
    PermitIssuer(double phase, TimePoint now);

    /// @brief Sets the limit, and the part of it that this entry grants, from 0 to 1.
    void setRate(double perSecond, double share, TimePoint now);

    /// @brief Empties the bucket. For use after a suspension, in which another entry may have granted permits.
    void empty(TimePoint now);

    /// @brief Takes over a request of @p entry. The newest of an entry replaces its earlier ones.
    void request(const std::string &entry, const PermitRequest &request, TimePoint now);

    /// @brief The grants that are due, at most one for each entry. An entry whose request can't be met at once gets one
    /// without permits, which tells it when to expect them.
    std::vector<std::pair<std::string, PermitGrant>> grant(TimePoint now);

    /// @brief When the next permit can be granted; empty if no request waits.
    std::optional<TimePoint> due() const;

    /// @brief Calls that wait for a permit, over all entries.
    std::uint64_t wanted() const;

    /// @brief Requests a second at which permits are granted.
    double rate() const
    {
        return m_rate;
    }
    double level() const
    {
        return m_level;
    }

private:
    struct Sent {
        std::uint64_t number;
        std::uint32_t calls;
        TimePoint at;
    };
    struct Entry {
        PermitRequest request;
        std::uint32_t waiting = 0; ///< Calls for which no permit was granted yet.
        TimePoint receivedAt{};
        TimePoint servedAt{}; ///< Last grant of a permit.
        bool answered = false; ///< The request was answered with the expected time.
        std::uint64_t grants = 0;
        std::deque<Sent> unseen; ///< Grants that may not have arrived yet.
    };

    void fill(TimePoint now);
    double burst() const;
    void dropOldRequests(TimePoint now);
    std::map<std::string, Entry>::iterator mostUrgent();

    double m_phase;
    double m_level;
    double m_rate = 0;
    double m_share = 1;
    TimePoint m_filledAt;
    std::map<std::string, Entry> m_entries;
};

} // namespace celeryroute
