#include <celeryroute/detail/node/nodemain.h>

namespace celeryroute {

int runNode(const std::string &, const PlatformTranslation &)
{
    return 0;
}

} // namespace celeryroute
