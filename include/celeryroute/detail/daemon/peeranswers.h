#pragma once

#include <celeryroute/detail/control/control.h>

#include <functional>
#include <optional>
#include <string>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// @brief Answers the questions that any process answers: state, status and time line.
class PeerAnswers
{
public:
    PeerAnswers(const Control &control, const Timeline &timeline, std::function<std::string()> statusJson);

    /// @brief The answer to @p message, or nothing when it is no such question; any thread.
    std::optional<proto::Envelope> answer(const proto::Envelope &message) const;

private:
    const Control &m_control;
    const Timeline &m_timeline;
    std::function<std::string()> m_statusJson;
};

} // namespace celeryroute
