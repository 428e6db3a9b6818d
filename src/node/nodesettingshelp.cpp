#include <celeryroute/detail/node/nodesettings.h>

namespace celeryroute {

namespace {

struct SettingHelp {
    const char *name;
    const char *meaning;
};

constexpr SettingHelp Settings[] = {
    {"role", "entry accepts callers' requests; agent manages the target on its host (required)"},
    {"name", "name of this host (required)"},
    {"ip", "IPv4 address of this host (required)"},
    {"domain", "failure domain of this host"},
    {"peer-port-first", "first port for messages between processes (required)"},
    {"peer-port-last", "last port for messages between processes (required)"},
    {"listen-address", "IP:PORT for callers (entry, required)"},
    {"readiness-address", "IP:PORT for the load balancer's readiness checks; also serves /metrics (entry, required)"},
    {"store-address", "IP:PORT of the platform's store (required)"},
    {"target-address", "IP:PORT of the target on this host (agent, required)"},
    {"pool", "pool that the target belongs to (agent)"},
    {"first-start", "true when the whole system starts for the first time"},
    {"memory-limit-mb", "memory limit of this process in MB; 0 for no known limit"},
    {"max-descriptors", "limit of open files and sockets; 0 for no known limit"},
    {"max-held-mb",
     "bytes held of callers' requests and of answers to them, in MiB; default a quarter of memory-limit-mb"},
    {"cpu-share", "CPU share of this process in cores"},
    {"heartbeat-ms", "approximate interval at which targets renew their records"},
    {"key-revocation-ms", "time within which a revoked key stops working"},
    {"state-apply-ms", "time within which desired state takes effect"},
    {"max-target-pause-s", "longest pause that a target may ask for when it refuses a request; default 30"},
    {"drain-ms", "time after which a draining target gets no new requests"},
    {"stop-grace-s", "time from SIGTERM to the end of the process"},
    {"address-reuse-s", "time after which another target may reuse a target's address"},
    {"retry-ratio", "retries per first send, over all entries"},
    {"retry-window-s", "window of that ratio"},
    {"retry-slack", "additional retries per window, over all entries"},
    {"quota-window-s", "window of customers' budgets"},
    {"quota-overage", "fraction by which a budget may be exceeded"},
    {"quota-slack", "additional tokens per window, over all entries"},
    {"allowance-wait", "share of a route's latency goal for which a request may wait for its budget; default 0"},
    {"ranked-gap-ms",
     "if a route allows no longer pauses between events, routes rank requests of equally urgent customers; default 0: "
     "never"},
    {"load-window-s", "window of loads from the weight store"},
    {"load-overage", "factor on the weight store's rate"},
    {"order-lease-ms", "minimum time between orders of two holders"},
    {"max-answer-kb", "longest answer of a target that is buffered, in KiB; default 16384"},
    {"max-event-kb", "longest event of a target's stream, in KiB; default 1024"},
    {"max-answers-mb", "buffered answers of all calls, in MiB; default 32"},
    {"targets-check-fences", "true if targets refuse orders with an older fencing token"},
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
