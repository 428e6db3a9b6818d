#include <celeryroute/detail/daemon/daemonsettings.h>

namespace celeryroute {

namespace {

constexpr std::size_t CurveKeyLength = 40;
constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t LongestStopMs = 3'600'000;
constexpr std::int64_t MostRequests = 1'000'000;
constexpr std::int64_t MostBodyBytes = 64LL << 20;
constexpr std::int64_t MostTimelineEvents = 1'000'000;

void readRoleSettings(SettingReader &reader, DaemonSettings &settings)
{
    if (settings.role == DaemonRole::Agent) {
        settings.pool = reader.requiredText("pool");
        settings.targetUrl = reader.url("target-url", true);
        return;
    }
    settings.pool = reader.text("pool");
    settings.targetUrl = reader.text("target-url");
    if (!settings.pool.empty()) {
        reader.addError(ResultCode::SettingConflict, "--pool belongs to --role=agent");
    }
    if (!settings.targetUrl.empty()) {
        reader.addError(ResultCode::SettingConflict, "--target-url belongs to --role=agent");
    }
}

void readCurveKeys(SettingReader &reader, DaemonSettings &settings)
{
    settings.curveKeys = {reader.text("curve-public-key"), reader.text("curve-secret-key")};
    const CurveKeys &keys = settings.curveKeys;
    if (keys.publicKey.empty() != keys.secretKey.empty()) {
        reader.addError(ResultCode::SettingConflict, "--curve-public-key and --curve-secret-key go together");
    }
    for (const std::string &key : {keys.publicKey, keys.secretKey}) {
        if (!key.empty() && key.size() != CurveKeyLength) {
            reader.addError(ResultCode::SettingInvalid, "a CURVE key is 40 characters of Z85 text");
        }
    }
}

} // namespace

std::vector<SettingSpec> daemonSettingSpecs()
{
    return {
        {"role", "entry|agent", "", "entry takes callers' requests; agent stands beside one target"},
        {"host", "NAME", "", "name of this host in the platform's list"},
        {"domain", "NAME", "", "failure domain of this host"},
        {"listen", "IP:PORT", "127.0.0.1:8080", "HTTP API: callers at an entry; health and metrics at both"},
        {"peer-listen", "IP:PORT", "127.0.0.1:7070", "where other celeryroute processes connect"},
        {"log-url", "URL", "", "the platform's log"},
        {"hosts-url", "URL", "", "the platform's list of hosts"},
        {"pool", "NAME", "", "pool that the target belongs to (agent)"},
        {"target-url", "URL", "", "the engine or service beside this agent (agent)"},
        {"curve-public-key", "Z85", "", "public key of the deployment; without keys links are plain text"},
        {"curve-secret-key", "Z85", "", "secret key of the deployment; better given in the environment"},
        {"log-level", "LEVEL", "info", "debug, info, warning or error"},
        {"guard-port", "PORT", "0", "loopback port that admits one agent per host; 0 for none"},
        {"stop-timeout-ms", "MS", "60000", "longest planned stop; work still running then is reported as unknown"},
        {"max-requests", "N", "20000", "requests in work at once (entry)"},
        {"max-connections", "N", "4096", "callers' connections at once"},
        {"max-body-bytes", "N", "4194304", "largest request body"},
        {"timeline-events", "N", "16384", "events kept for the time line"},
    };
}

DaemonSettings readDaemonSettings(SettingReader &reader)
{
    DaemonSettings settings;
    settings.role = reader.choice("role", {"entry", "agent"}) == "agent" ? DaemonRole::Agent : DaemonRole::Entry;
    settings.host = reader.requiredText("host");
    settings.domain = reader.requiredText("domain");
    settings.listen = reader.endpoint("listen");
    settings.peerListen = reader.endpoint("peer-listen");
    settings.logUrl = reader.url("log-url", true);
    settings.hostsUrl = reader.url("hosts-url", true);
    readRoleSettings(reader, settings);
    readCurveKeys(reader, settings);
    settings.logLevel = reader.choice("log-level", {"debug", "info", "warning", "error"});
    settings.guardPort = static_cast<int>(reader.integer("guard-port", 0, MaxPort));
    settings.stopTimeout = reader.milliseconds("stop-timeout-ms", 1, LongestStopMs);
    settings.maxRequests = static_cast<std::size_t>(reader.integer("max-requests", 1, MostRequests));
    settings.maxConnections = static_cast<std::size_t>(reader.integer("max-connections", 1, MostRequests));
    settings.maxBodyBytes = static_cast<std::size_t>(reader.integer("max-body-bytes", 1, MostBodyBytes));
    settings.timelineEvents = static_cast<std::size_t>(reader.integer("timeline-events", 1, MostTimelineEvents));
    return settings;
}

} // namespace celeryroute
