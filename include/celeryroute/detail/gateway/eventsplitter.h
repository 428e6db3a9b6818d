#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace celeryroute {

/// Takes whole events off a stream of server-sent events.
class EventSplitter
{
public:
    /// @param versionField name of the line that announces other weights
    explicit EventSplitter(std::string versionField);

    /// @brief Moves the whole events at the front of @p bytes out of it; empty when there is none.
    std::string takeWhole(std::string &bytes);

    std::uint64_t events() const
    {
        return m_events;
    }
    /// @brief Id of the last event that was taken; empty before.
    const std::string &lastId() const
    {
        return m_lastId;
    }
    /// @brief Weights that the last event came from; empty if no event said so.
    const std::string &weightsVersion() const
    {
        return m_weightsVersion;
    }

private:
    void readLine(std::string_view line);

    std::string m_versionField;
    std::uint64_t m_events = 0;
    std::string m_lastId;
    std::string m_weightsVersion;
};

} // namespace celeryroute
