#pragma once

#include <celeryroute/resultcode.h>

#include <string>

namespace celeryroute {

/// A failure: its number and one sentence that names what was wrong.
struct Error {
    ResultCode code = ResultCode::Internal;
    std::string message;
    bool operator==(const Error &) const = default;
};

/// @brief One line for logs and terminals: `error 311 RateExceeded: message`.
std::string toString(const Error &error);

} // namespace celeryroute
