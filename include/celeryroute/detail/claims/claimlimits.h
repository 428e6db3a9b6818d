#pragma once

#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// Time after the creation of an idempotency key, or after the claim of a key that carries no
/// creation time, for which a repeat gets the recorded outcome. Older keys are refused.
constexpr std::int64_t ClaimWindowMs = 24LL * 60 * 60 * 1000;
/// Tolerated difference between the clocks of callers and entries.
constexpr std::int64_t MaxClockSkewMs = 5LL * 60 * 1000;
/// Age of a claim without an outcome from which its call no longer counts as running.
constexpr std::int64_t MaxCallTimeMs = 10LL * 60 * 1000;
/// Longest answer body in bytes that is recorded whole.
constexpr std::size_t MaxRecordedAnswer = 16ULL * 1024;
/// Bytes of answers that the table keeps in all; further answers are kept by digest and status.
constexpr std::size_t MaxRecordedAnswers = 64ULL * 1024 * 1024;
/// Claims that the table keeps in all; further claims are refused.
constexpr std::size_t MaxClaims = 200'000;
/// Keys without a creation time that the table refuses for ever; further ones are not accepted.
constexpr std::size_t MaxRetiredKeys = 1'000'000;
/// Longest idempotency key in bytes.
constexpr std::size_t MaxIdempotencyKey = 255;

} // namespace celeryroute
