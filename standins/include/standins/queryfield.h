#pragma once

#include <celeryroute/detail/http/httpmessage.h>

#include <cstdint>
#include <optional>
#include <string>

namespace celeryroute {

/// @brief A whole number of the query; @p fallback when absent, nothing when it is no number.
std::optional<std::uint64_t> queryNumber(const HttpRequest &request, const std::string &name, std::uint64_t fallback);

/// @brief A field of the query or headers; empty when absent.
std::string fieldOr(const HttpFields &fields, const std::string &name, const std::string &fallback = {});

} // namespace celeryroute
