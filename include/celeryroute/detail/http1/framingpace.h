#pragma once

#include <celeryroute/time.h>

#include <optional>

namespace celeryroute {

/// Detects a sender that sends a head, a chunk line or a trailer little by little without end.
///
/// A pause counts for a short time only, however long it lasts: a sender that is silent is not dripping.
class FramingPace
{
public:
    /// @param limit sending time after which the element must be complete
    explicit FramingPace(Duration limit)
        : m_limit(limit)
    {}

    /// @brief Bytes came and the element is not complete.
    void noteIncomplete(TimePoint now);
    /// @brief An element is complete.
    void noteComplete();
    bool isDripping() const
    {
        return m_sending > m_limit;
    }

private:
    Duration m_limit;
    Duration m_sending{};
    std::optional<TimePoint> m_latest; ///< Last bytes of the element.
};

} // namespace celeryroute
