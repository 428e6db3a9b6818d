#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celeryroute {

/// One header field, as it was sent.
struct HeaderField {
    std::string name;
    std::string value;
    bool operator==(const HeaderField &) const = default;
};

/// How the length of a body is told.
enum class BodyFraming {
    None,
    Length,
    Chunked,
    UntilClose, ///< Answers only.
};

/// @brief Name of @p framing in the log.
std::string_view framingName(BodyFraming framing);

/// The start line and the fields of a request or an answer.
struct MessageHead {
    std::string method; ///< Requests.
    std::string target; ///< Requests: path and query.
    int status = 0; ///< Answers.
    std::string reason; ///< Answers.
    int version = 11; ///< 11 for HTTP/1.1
    std::vector<HeaderField> fields;
    BodyFraming framing = BodyFraming::None;
    std::uint64_t bodyLength = 0; ///< With BodyFraming::Length.
    bool keepAlive = true;
    bool operator==(const MessageHead &) const = default;

    /// @brief Value of the first field called @p name, or null.
    const std::string *field(std::string_view name) const;
    /// @brief Values of all fields called @p name, in order.
    std::vector<std::string_view> values(std::string_view name) const;
};

/// @brief Compares names of header fields.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// @brief Whether the comma-separated @p list holds @p token; case does not count.
bool listContains(std::string_view list, std::string_view token);

/// @brief Whether a field concerns one connection only and is not forwarded.
bool isHopByHop(std::string_view name);

} // namespace celeryroute
