#include <celeryroute/detail/targetlimit/targetlimit.h>

namespace celeryroute {

// Answers of one target overtake each other. A request that was sent after a limit had arrived was answered after the
// limit was named, so only its answer shows that the limit has ended.
bool TargetLimit::isNewerThan(const TargetLimit &known) const
{
    if (bornMs != 0 && known.bornMs != 0 && bornMs != known.bornMs) {
        return bornMs > known.bornMs;
    }
    return at > known.at;
}

} // namespace celeryroute
