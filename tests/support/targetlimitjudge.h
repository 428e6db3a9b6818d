#pragma once

#include <celeryroute/time.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace celeryroute {

/// Counts the requests that a target gets, and compares them with the limit that it names.
class TargetLimitJudge
{
public:
    static constexpr Duration Window = std::chrono::seconds(4);
    static constexpr Duration FirstWindowEnds = std::chrono::seconds(3); ///< After the limit was first named.
    static constexpr Duration ToldFor = std::chrono::milliseconds(500); ///< Until the sends of an entry count.

    /// @brief The target names a limit of @p perSecond from now on, or none.
    void name(std::optional<double> perSecond, TimePoint now)
    {
        if (perSecond && !m_named) {
            m_named = now;
        }
        m_limits.push_back({perSecond, now});
    }
    /// @brief Entry @p entry passes on an answer that names a limit.
    void tell(std::size_t entry, TimePoint now)
    {
        m_told.try_emplace(entry, now);
    }
    /// @brief Nothing that @p entry sends counts until it is told again.
    void excuse(std::size_t entry)
    {
        m_told.erase(entry);
    }
    /// @brief Forgets the requests that have arrived. For use when the target stood still, so that requests of a longer
    /// time arrive at once.
    void restartWindow()
    {
        m_counted.clear();
    }
    void arrive(std::size_t entry, TimePoint now)
    {
        ++m_arrivals;
        const auto told = m_told.find(entry);
        if (told != m_told.end() && now - told->second >= ToldFor) {
            m_counted.push_back(now);
        }
        judge(now);
    }

    /// @brief Requests beyond what the rule allows, in the worst window.
    double worstExcess() const
    {
        return m_worstExcess;
    }
    std::size_t arrivals() const
    {
        return m_arrivals;
    }

private:
    struct Limit {
        std::optional<double> perSecond;
        TimePoint since{};
    };

    void judge(TimePoint now)
    {
        std::erase_if(m_counted, [now](TimePoint arrival) { return now - arrival >= Window; });
        const bool isLimited = !m_limits.empty() && m_limits.back().perSecond;
        if (isLimited && now - *m_named >= FirstWindowEnds) {
            m_worstExcess = std::max(m_worstExcess, static_cast<double>(m_counted.size()) - allowed(now));
        }
    }
    // While the target names no limit, it allows any number.
    double allowed(TimePoint now) const
    {
        constexpr double Factor = 1.5;
        constexpr double Slack = 5;
        constexpr double Unlimited = 1e9;
        double sum = Slack;
        TimePoint end = now;
        for (auto limit = m_limits.rbegin(); limit != m_limits.rend() && end > now - Window; ++limit) {
            const TimePoint begin = std::max(limit->since, now - Window);
            sum += Factor * limit->perSecond.value_or(Unlimited) * toSeconds(std::max(end - begin, Duration::zero()));
            end = std::min(end, begin);
        }
        // Before it named its first limit, the target is judged by that one.
        const double first = m_limits.front().perSecond.value_or(Unlimited);
        return sum + Factor * first * toSeconds(std::max(end - (now - Window), Duration::zero()));
    }

    std::optional<TimePoint> m_named;
    std::vector<Limit> m_limits;
    std::map<std::size_t, TimePoint> m_told;
    std::vector<TimePoint> m_counted;
    std::size_t m_arrivals = 0;
    double m_worstExcess = -1e9;
};

} // namespace celeryroute
