#include <standins/queryfield.h>

#include <absl/strings/numbers.h>

namespace celeryroute {

std::optional<std::uint64_t> queryNumber(const HttpRequest &request, const std::string &name, std::uint64_t fallback)
{
    const auto found = request.query.find(name);
    if (found == request.query.end()) {
        return fallback;
    }
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(found->second, &number)) {
        return std::nullopt;
    }
    return number;
}

std::string fieldOr(const HttpFields &fields, const std::string &name, const std::string &fallback)
{
    const auto found = fields.find(name);
    return found == fields.end() ? fallback : found->second;
}

} // namespace celeryroute
