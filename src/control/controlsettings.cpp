#include <celeryroute/detail/control/controlsettings.h>

#include <celeryroute/detail/base/digest.h>

namespace celeryroute {

namespace {

constexpr char InstanceSeparator = '.';
constexpr std::size_t InstanceIdBytes = 6;

} // namespace

std::string newInstanceName(const std::string &host)
{
    return host + InstanceSeparator + randomId(InstanceIdBytes);
}

std::string hostOfInstance(const std::string &instance)
{
    return instance.substr(0, instance.rfind(InstanceSeparator));
}

} // namespace celeryroute
