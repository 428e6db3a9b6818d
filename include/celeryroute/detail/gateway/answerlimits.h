#pragma once

#include <string_view>

namespace celeryroute {

/// Limits on targets' answers: values of the field `limit` in log lines, and of the label `limit`.
namespace answerlimits {
inline constexpr std::string_view Framing = "framing"; ///< Bytes of a head, a chunk line or a trailer.
inline constexpr std::string_view FramingTime = "framing_time"; ///< Time to send one of these.
inline constexpr std::string_view Answer = "answer"; ///< Bytes of an answer.
inline constexpr std::string_view Event = "event"; ///< Bytes of an event.
inline constexpr std::string_view Total = "total"; ///< Bytes of all answers.
} // namespace answerlimits

} // namespace celeryroute
