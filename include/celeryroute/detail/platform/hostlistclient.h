#pragma once

#include <celeryroute/detail/platform/httphostlist.h>
#include <celeryroute/detail/platform/memoryhostlist.h>

#include <variant>
#include <vector>

namespace celeryroute {

/// @brief The platform's lagging list of hosts; blocking, for one thread at a time.
class HostListClient
{
public:
    explicit HostListClient(HttpHostList list);
    explicit HostListClient(MemoryHostList list);

    /// @brief Fails with PlatformUnavailable, TransportFailed or MessageMalformed.
    Result<std::vector<HostEntry>> read();

private:
    std::variant<HttpHostList, MemoryHostList> m_list;
};

} // namespace celeryroute
