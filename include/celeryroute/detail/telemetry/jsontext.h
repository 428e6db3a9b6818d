#pragma once

#include <celeryroute/detail/telemetry/decisionfield.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace celeryroute {

/// Maximum length of a logged text in bytes. Longer texts are truncated and end with three dots.
constexpr std::size_t MaxLoggedTextBytes = 256;

/// @brief Returns @p text, truncated to MaxLoggedTextBytes bytes at the boundary of a UTF-8 character.
std::string loggedText(std::string_view text);

/// @brief Appends @p text as a JSON string, truncated like loggedText(). Invalid UTF-8 bytes become U+FFFD.
void appendJsonText(std::string &out, std::string_view text);

void appendJsonNumber(std::string &out, std::int64_t number);
void appendJsonNumber(std::string &out, std::uint64_t number);
/// @brief Appends @p number, or `null` when it is not finite.
void appendJsonNumber(std::string &out, double number);

/// @brief Appends `,"key":value`, or nothing if the field has no value.
void appendJsonField(std::string &out, const DecisionField &field);

} // namespace celeryroute
