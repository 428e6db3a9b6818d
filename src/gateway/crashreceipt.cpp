#include <celeryroute/detail/gateway/crashreceipt.h>

#include <limits>

namespace celeryroute {

namespace {

constexpr std::uint64_t EarlierReports = std::numeric_limits<std::uint64_t>::digits;

} // namespace

void CrashReceipt::add(std::uint64_t number)
{
    if (number > newest) {
        const std::uint64_t distance = number - newest;
        earlier = distance < EarlierReports ? earlier << distance : 0;
        if (newest > 0 && distance <= EarlierReports) {
            earlier |= std::uint64_t{1} << (distance - 1);
        }
        newest = number;
    } else if (number < newest && newest - number <= EarlierReports) {
        earlier |= std::uint64_t{1} << (newest - number - 1);
    }
}

bool CrashReceipt::contains(std::uint64_t number) const
{
    return number > 0
        && (number == newest
            || (number < newest && newest - number <= EarlierReports && (earlier >> (newest - number - 1) & 1) != 0));
}

} // namespace celeryroute
