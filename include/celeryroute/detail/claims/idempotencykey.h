#pragma once

#include <celeryroute/result.h>

#include <cstdint>
#include <string>

namespace celeryroute {

/// A caller's idempotency key; only its digest is stored, never the plain text.
struct IdempotencyKey {
    std::string digest; ///< SHA-256 of the key.
    std::int64_t timeMs = 0; ///< Creation time encoded in the key; 0 if there is none.
    bool operator==(const IdempotencyKey &) const = default;
};

/// @brief Parses the idempotency key of a request; errors: IdempotencyKeyMissing, IdempotencyKeyInvalid.
///
/// The creation time is read from a version 7 UUID, or from a prefix of 13 digits (Unix time in
/// milliseconds) and `-`.
Result<IdempotencyKey> parseIdempotencyKey(const std::string &text);

} // namespace celeryroute
