#include <celeryroute/detail/entry/requestfields.h>

#include <absl/strings/numbers.h>
#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::int64_t LongestDeadlineMs = 24LL * 3600 * 1000;
constexpr std::size_t MostIdempotencyKeyBytes = 255;

bool isPrintable(char letter)
{
    return letter >= ' ' && letter <= '~';
}

} // namespace

std::string headerValue(const HttpRequest &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

Result<std::optional<Duration>> readDeadline(const HttpRequest &request)
{
    const std::string text = headerValue(request, DeadlineHeader);
    if (text.empty()) {
        return std::optional<Duration>();
    }
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds < 1 || milliseconds > LongestDeadlineMs) {
        return fail(ResultCode::DeadlineInvalid, "X-Deadline-Ms is not a number of milliseconds from 1 to 86400000");
    }
    return std::optional<Duration>(std::chrono::milliseconds(milliseconds));
}

Result<std::string> readIdempotencyKey(const HttpRequest &request)
{
    const std::string key = headerValue(request, IdempotencyKeyHeader);
    if (key.size() > MostIdempotencyKeyBytes || !std::all_of(key.begin(), key.end(), isPrintable)) {
        return fail(ResultCode::RequestMalformed, "Idempotency-Key is longer than 255 or has unprintable characters");
    }
    return key;
}

} // namespace celeryroute
