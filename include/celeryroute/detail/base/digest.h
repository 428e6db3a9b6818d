#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief SHA-256 of @p text, as 32 bytes.
std::string sha256(const std::string &text);

/// @brief SHA-256 over @p parts with their lengths, so that no two lists collide by concatenation.
std::string sha256(const std::vector<std::string> &parts);

/// @brief Lower-case hexadecimal text of @p bytes.
std::string toHex(const std::string &bytes);

/// @brief 64-bit XXH3 hash of @p text; equal on all hosts and versions.
std::uint64_t stableHash(const std::string &text);

/// @brief Rendezvous-hashing score of @p host for @p key, equal in all processes; the highest score is preferred.
std::uint64_t rendezvousScore(const std::string &key, const std::string &host);

/// @brief The decimal numbers @p digests, separated by commas.
std::string joinDigests(const std::vector<std::uint64_t> &digests);

/// @brief A random identifier of @p bytes bytes from the system's secure source, in hexadecimal.
std::string randomId(std::size_t bytes = 12);

} // namespace celeryroute
