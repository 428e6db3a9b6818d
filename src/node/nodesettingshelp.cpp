#include <celeryroute/detail/node/nodesettings.h>

namespace celeryroute {

namespace {

struct SettingHelp {
    const char *name;
    const char *meaning;
};

constexpr SettingHelp Settings[] = {
    {"role", "entry takes callers' requests; agent keeps the target on its host (required)"},
    {"name", "name of this host (required)"},
    {"ip", "IPv4 number of this host (required)"},
    {"domain", "failure domain of this host"},
    {"peer-port-first", "first port for messages between processes (required)"},
    {"peer-port-last", "last port for messages between processes (required)"},
    {"listen-address", "IP:PORT for callers (entry, required)"},
    {"readiness-address", "IP:PORT where the balancer asks; also serves /metrics (entry, required)"},
    {"store-address", "IP:PORT of the platform's store (required)"},
    {"target-address", "IP:PORT of the target on this host (agent, required)"},
    {"pool", "pool that the target belongs to (agent)"},
    {"first-start", "true when the whole system starts for the first time"},
    {"memory-limit-mb", "memory that this process may take; 0 for no known limit"},
    {"max-descriptors", "files and sockets that it may open; 0 for no known limit"},
    {"cpu-share", "share of a core that it has"},
    {"heartbeat-ms", "targets renew their records about so often"},
    {"key-revocation-ms", "a withdrawn key stops working within this time"},
    {"state-apply-ms", "desired state is in force within this time"},
    {"drain-ms", "a leaving target gets nothing new after this time"},
    {"stop-grace-s", "time from SIGTERM to the end of the process"},
    {"address-reuse-s", "a target's address may serve another one after this time"},
    {"retry-ratio", "further sends per first send, over all entries"},
    {"retry-window-s", "window of that ratio"},
    {"retry-slack", "further sends per window beside the ratio, over all entries"},
    {"quota-window-s", "window of customers' allowances"},
    {"quota-overage", "part of an allowance that may be exceeded"},
    {"quota-slack", "tokens per window beside an allowance, over all entries"},
    {"load-window-s", "window of loads from the weight store"},
    {"load-overage", "factor on the weight store's rate"},
    {"order-lease-ms", "orders of two holders must lie further apart"},
    {"targets-check-fences", "true when targets refuse orders with an older fence"},
};

constexpr std::size_t NameWidth = 24;

} // namespace

std::string nodeSettingsHelp()
{
    std::string text;
    for (const auto &[name, meaning] : Settings) {
        std::string line = std::string("  ") + name;
        line.resize(NameWidth, ' ');
        text += line + meaning + '\n';
    }
    return text;
}

} // namespace celeryroute
