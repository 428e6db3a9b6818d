#pragma once

#include <celeryroute/result.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// A caller's idempotency key as it is kept: never in plain.
struct IdempotencyKey {
    std::string digest; ///< SHA-256 of the key.
    std::int64_t timeMs = 0; ///< Creation time that the key carries; 0 when it carries none.
    bool operator==(const IdempotencyKey &) const = default;
};

/// @brief Reads the key of a request; errors: IdempotencyKeyMissing, IdempotencyKeyInvalid.
///
/// A UUID of version 7, and a key that starts with 13 digits of Unix time in milliseconds and `-`,
/// carry their creation time.
Result<IdempotencyKey> parseIdempotencyKey(const std::string &text);

} // namespace celeryroute
