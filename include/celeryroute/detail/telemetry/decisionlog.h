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

/// @brief The decisions of one process as JSON lines on a descriptor; the event loop's thread only.
///
/// Lines are assembled in one buffer and handed over by flush(), once per turn of the event loop.
/// Nothing here waits: lines beyond an event's limit are left out, lines that a slow reader has no
/// room for are dropped, and a later line says how many.
class DecisionLog
{
public:
    using ClockReader = LogClock (*)();

    /// @brief Makes @p descriptor non-blocking until this object ends; the process must ignore SIGPIPE.
    DecisionLog(const DecisionOrigin &origin, int descriptor, ClockReader clock = readLogClock);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /// @brief Adds a line about the request @p request; empty for lines about no request.
    void
    write(DecisionEvent event, TimePoint now, std::string_view request, std::initializer_list<DecisionField> fields);
    /// @brief Adds a line about no request.
    void write(DecisionEvent event, TimePoint now, std::initializer_list<DecisionField> fields);
    void flush();

    std::uint64_t written() const
    {
        return m_written;
    }
    /// @brief Lines beyond their event's limit.
    std::uint64_t leftOut() const
    {
        return m_leftOut;
    }
    /// @brief Lines that the reader had no room for.
    std::uint64_t dropped() const
    {
        return m_buffer.dropped();
    }

private:
    /// Clocks at the first line of a turn.
    struct Anchor {
        TimePoint now;
        LogClock clock;
    };

    void appendHead(std::string &line, const EventDescription &description, TimePoint now);
    void appendGaps(std::string &line, const LineBudget &budget);

    const ClockReader m_clock;
    const int m_descriptor;
    int m_originalFlags = -1;
    std::string m_originText; ///< The fields that all lines share.
    LineBuffer m_buffer;
    std::array<LineBudget, EventDescriptions.size()> m_budgets{};
    std::optional<Anchor> m_anchor;
    std::uint64_t m_written = 0;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_droppedReported = 0;
};

} // namespace celeryroute
