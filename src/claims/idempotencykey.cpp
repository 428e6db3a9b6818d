#include <celeryroute/detail/claims/idempotencykey.h>

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/claims/claimlimits.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace celeryroute {
namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionAt = 14;
constexpr std::size_t UnixMsDigits = 13;

// The first 48 bits of a version 7 UUID are its creation time in Unix milliseconds (RFC 9562).
std::int64_t uuidTimeMs(const std::string &text)
{
    if (text.size() != UuidLength || text[UuidVersionAt] != '7' || text[8] != '-' || text[13] != '-') {
        return 0;
    }
    const std::string digits = text.substr(0, 8) + text.substr(9, 4);
    std::int64_t timeMs = 0;
    const bool isHex = std::all_of(digits.begin(), digits.end(), absl::ascii_isxdigit);
    return isHex && absl::SimpleHexAtoi(digits, &timeMs) ? timeMs : 0;
}

std::int64_t prefixTimeMs(const std::string &text)
{
    if (text.size() <= UnixMsDigits || text[UnixMsDigits] != '-') {
        return 0;
    }
    const std::string digits = text.substr(0, UnixMsDigits);
    std::int64_t timeMs = 0;
    const bool isNumber = std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit);
    return isNumber && absl::SimpleAtoi(digits, &timeMs) ? timeMs : 0;
}

} // namespace

Result<IdempotencyKey> parseIdempotencyKey(const std::string &text)
{
    if (text.empty()) {
        return fail(ResultCode::IdempotencyKeyMissing,
                    "this call may not be repeated and needs an Idempotency-Key header, best a UUID of version 7");
    }
    if (text.size() > MaxIdempotencyKeyBytes || !std::all_of(text.begin(), text.end(), absl::ascii_isprint)) {
        return fail(
            ResultCode::IdempotencyKeyInvalid,
            absl::StrCat("the idempotency key must be 1 to ", MaxIdempotencyKeyBytes, " printable ASCII characters"));
    }
    const std::int64_t uuidTime = uuidTimeMs(text);
    return IdempotencyKey{sha256(text), uuidTime != 0 ? uuidTime : prefixTimeMs(text)};
}

} // namespace celeryroute
