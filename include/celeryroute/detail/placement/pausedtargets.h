#pragma once

#include <celeryroute/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// Targets that asked in an answer to get no calls for a while, also while the registry does not show them.
class PausedTargets
{
public:
    using Ends = std::map<std::string, TimePoint>;

    /// @brief Takes over that @p target asked for a pause until @p until. Of several pauses the longest counts.
    void add(const std::string &target, TimePoint until);
    /// @brief Removes the pauses that are over.
    /// @return their targets
    std::vector<std::string> takeEnded(TimePoint now);
    /// @brief End of the pause of @p target, if it pauses.
    std::optional<TimePoint> endOf(const std::string &target) const;
    /// @brief End of the first pause, if there is one.
    std::optional<TimePoint> nextEnd() const;
    /// @brief Ends of all pauses by target.
    const Ends &ends() const;

private:
    Ends m_ends;
};

} // namespace celeryroute
