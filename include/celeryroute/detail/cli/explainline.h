#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace celeryroute {

/// One line of a process's log.
struct ExplainLine {
    std::int64_t wallMs = 0;
    std::int64_t bootMs = 0;
    std::string event;
    std::string request; ///< Empty for lines about no request.
    nlohmann::ordered_json fields; ///< All others, but for the process's.
    bool operator==(const ExplainLine &) const = default;

    /// @brief The text of the field @p name; empty when there is none.
    std::string text(const std::string &name) const;
    /// @brief The number of the field @p name, if there is one.
    std::optional<std::uint64_t> number(const std::string &name) const;
};

/// @brief Whether @p line is the last one of its request.
bool endsRequest(const ExplainLine &line);

} // namespace celeryroute
