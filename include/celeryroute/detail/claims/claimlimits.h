#pragma once

#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// Time after the creation of an idempotency key, or after the claim of a key without a creation time,
/// during which a repeated call gets the recorded answer. Older keys are refused.
constexpr std::int64_t ClaimWindowMs = 24LL * 60 * 60 * 1000;
/// Tolerated difference between the clocks of callers and entries.
constexpr std::int64_t MaxClockSkewMs = 5LL * 60 * 1000;
/// Age above which a claim without an outcome no longer counts as running and is in doubt.
constexpr std::int64_t MaxCallTimeMs = 10LL * 60 * 1000;
/// Maximum size in bytes of an answer body that is recorded whole.
constexpr std::size_t MaxRecordedAnswerBytes = 16ULL * 1024;
/// Maximum total size in bytes of the answer bodies in the table. Beyond it, an answer is stored without
/// its body.
constexpr std::size_t MaxTotalAnswerBytes = 64ULL * 1024 * 1024;
/// Maximum number of claims in the table; further claims are refused.
constexpr std::size_t MaxClaims = 200'000;
/// Maximum number of retired keys. Only keys without a creation time are retired; when the limit is
/// reached, no further key without a creation time is accepted.
constexpr std::size_t MaxRetiredKeys = 1'000'000;
/// Maximum length of an idempotency key in bytes.
constexpr std::size_t MaxIdempotencyKeyBytes = 255;

} // namespace celeryroute
