#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace celeryroute {

/// Splits a stream of server-sent events into complete events, whose numbers rise.
class EventSplitter
{
public:
    /// @param versionField event field that announces another version of the weights
    explicit EventSplitter(std::string versionField);

    /// Bytes of an answer that were taken.
    struct Taken {
        std::string events;
        bool valid = true; ///< False if something comes after them that is no event, or none that may follow the last.
        bool operator==(const Taken &) const = default;
    };

    /// @brief Removes all complete events from the front of @p bytes and returns them.
    /// @param searched number of bytes that an earlier call has left in @p bytes
    Taken takeCompleteEvents(std::string &bytes, std::size_t searched = 0);

    /// @brief Number of events taken so far.
    std::uint64_t eventCount() const
    {
        return m_eventCount;
    }
    /// @brief Id of the last event taken that had one; empty if none had.
    const std::string &lastId() const
    {
        return m_lastId;
    }
    /// @brief Version of the weights that produced the last event; empty if no event announced one.
    const std::string &weightsVersion() const
    {
        return m_weightsVersion;
    }

private:
    struct Event;

    /// @return whether @p line may be part of an event
    bool readLine(std::string_view line, Event &event) const;
    /// @return whether @p event may follow those taken so far
    bool mayFollow(const Event &event) const;
    void take(const Event &event);

    std::string m_versionField;
    std::uint64_t m_eventCount = 0;
    std::string m_lastId;
    std::string m_weightsVersion;
};

} // namespace celeryroute
