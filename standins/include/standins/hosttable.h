#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/time.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief The list of hosts as it was a fixed lag ago.
class HostTable
{
public:
    explicit HostTable(Duration lag);

    void put(const HostEntry &entry, TimePoint now);
    void remove(const std::string &host, TimePoint now);
    std::vector<HostEntry> visible(TimePoint now);

private:
    using Hosts = std::map<std::string, HostEntry>;
    struct Change {
        TimePoint due;
        std::string host;
        std::vector<HostEntry> entry; ///< Empty for a removal.
    };

    const Duration m_lag;
    std::deque<Change> m_changes;
    Hosts m_hosts;
};

} // namespace celeryroute
