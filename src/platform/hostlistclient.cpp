#include <celeryroute/detail/platform/hostlistclient.h>

#include <utility>

namespace celeryroute {

HostListClient::HostListClient(HttpHostList list)
    : m_list(std::move(list))
{}

HostListClient::HostListClient(MemoryHostList list)
    : m_list(std::move(list))
{}

Result<std::vector<HostEntry>> HostListClient::read()
{
    return std::visit([](auto &list) { return list.read(); }, m_list);
}

} // namespace celeryroute
