#pragma once

#include <celeryroute/detail/telemetry/decisionfield.h>
#include <celeryroute/detail/telemetry/decisionorigin.h>
#include <celeryroute/detail/telemetry/linebudget.h>
#include <celeryroute/detail/telemetry/linebuffer.h>
#include <celeryroute/detail/telemetry/logclock.h>

#include <array>
#include <initializer_list>
#include <optional>
#include <string_view>

namespace celeryroute {

/// @brief Writes the decisions of one process to a descriptor as JSON lines.
///
/// Not thread-safe: used only on the thread of the event loop. Lines are collected in one buffer,
/// which flush() writes out once per iteration of the event loop. No call blocks: lines beyond the
/// rate limit of their event are omitted, and lines that do not fit into the buffer because the
/// reader is slow are dropped. A later line reports how many of both are missing.
class DecisionLog
{
public:
    using ClockReader = LogClock (*)();

    /// @brief Makes @p descriptor non-blocking for the lifetime of this object. The process must ignore SIGPIPE.
    DecisionLog(const DecisionOrigin &origin, int descriptor, ClockReader clock = readLogClock);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /// @brief Adds a line about the request with the ID @p request, or about no request if it is empty.
    void
    write(DecisionEvent event, TimePoint now, std::string_view request, std::initializer_list<DecisionField> fields);
    /// @brief Adds a line that belongs to no request.
    void write(DecisionEvent event, TimePoint now, std::initializer_list<DecisionField> fields);
    /// @brief Writes the collected lines, as far as the descriptor accepts them without blocking.
    void flush();

    std::uint64_t written() const
    {
        return m_written;
    }
    /// @brief Number of lines omitted because of the rate limit of their event.
    std::uint64_t leftOut() const
    {
        return m_leftOut;
    }
    /// @brief Number of lines dropped because the reader was too slow or gone.
    std::uint64_t dropped() const
    {
        return m_buffer.dropped();
    }

private:
    /// Clock readings at the first line of an iteration of the event loop.
    struct Anchor {
        TimePoint now;
        LogClock clock;
    };

    void appendHead(std::string &line, const EventDescription &description, TimePoint now);
    void appendMissingCounts(std::string &line, const LineBudget &budget);

    const ClockReader m_clock;
    const int m_descriptor;
    int m_originalFlags = -1;
    std::string m_originText; ///< JSON text of the fields that all lines share.
    LineBuffer m_buffer;
    std::array<LineBudget, EventDescriptions.size()> m_budgets{};
    std::optional<Anchor> m_anchor;
    std::uint64_t m_written = 0;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_droppedReported = 0;
};

} // namespace celeryroute
