#pragma once

#include <celeryroute/detail/telemetry/decisionfield.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace celeryroute {

/// Longer texts are cut; the last three bytes are then dots.
constexpr std::size_t MaxLoggedText = 256;

/// @brief The part of @p text that a line holds.
std::string loggedText(std::string_view text);

/// @brief Appends @p text in quotes; bytes that are not UTF-8 become the replacement character.
void appendJsonText(std::string &out, std::string_view text);

void appendJsonNumber(std::string &out, std::int64_t number);
void appendJsonNumber(std::string &out, std::uint64_t number);
/// @brief Appends @p number, or `null` when it is not finite.
void appendJsonNumber(std::string &out, double number);

/// @brief Appends `,"key":value`.
void appendJsonField(std::string &out, const DecisionField &field);

} // namespace celeryroute
