#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace celeryroute {

/// A bounded map from ids that drops the entries that were set first.
template <typename Value>
class RecentEntries
{
public:
    explicit RecentEntries(std::size_t most)
        : m_most(most)
    {}
    // A copy would refer to the entries of the original.
    RecentEntries(const RecentEntries &) = delete;
    RecentEntries &operator=(const RecentEntries &) = delete;

    /// @brief Adds or replaces the entry of @p id, which is the newest one then.
    void set(const std::string &id, Value value)
    {
        erase(id);
        m_positions.emplace(id, m_entries.emplace(m_entries.end(), id, std::move(value)));
        if (m_entries.size() > m_most) {
            m_positions.erase(m_entries.front().first);
            m_entries.pop_front();
        }
    }

    const Value *find(const std::string &id) const
    {
        const auto position = m_positions.find(id);
        return position == m_positions.end() ? nullptr : &position->second->second;
    }

    /// @return whether there was an entry
    bool erase(const std::string &id)
    {
        const auto position = m_positions.find(id);
        if (position == m_positions.end()) {
            return false;
        }
        m_entries.erase(position->second);
        m_positions.erase(position);
        return true;
    }

private:
    using Entries = std::list<std::pair<std::string, Value>>;

    std::size_t m_most;
    Entries m_entries; ///< The newest one last.
    std::unordered_map<std::string, typename Entries::iterator> m_positions;
};

} // namespace celeryroute
