#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// An IPv4 address and a port.
struct Endpoint {
    std::uint32_t ip = 0; ///< Host byte order.
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr): it takes <=> for 0.
};

/// @brief Reads `A.B.C.D:PORT`.
std::optional<Endpoint> parseEndpoint(const std::string &text);

/// @brief Reads `A.B.C.D`.
std::optional<std::uint32_t> parseIp(const std::string &text);

/// @brief `A.B.C.D`
std::string ipText(std::uint32_t ip);

/// @brief `A.B.C.D:PORT`
std::string toString(const Endpoint &endpoint);

} // namespace celeryroute
