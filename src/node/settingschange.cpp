#include <celeryroute/detail/node/settingschange.h>

namespace celeryroute {

namespace {

/// Collects the names of settings that differ.
class Comparison
{
public:
    Comparison(const NodeSettings &inForce, const NodeSettings &read)
        : m_inForce(inForce)
        , m_change{read, {}, {}}
    {}

    /// @brief Applies a setting that can change at any time.
    template <typename Value>
    void take(const char *name, Value NodeSettings::*setting)
    {
        if (m_inForce.*setting != m_change.settings.*setting) {
            m_change.changed.emplace_back(name);
        }
    }

    template <typename Value>
    void take(const char *name, Value ServingBounds::*bound)
    {
        if (m_inForce.bounds.*bound != m_change.settings.bounds.*bound) {
            m_change.changed.emplace_back(name);
        }
    }

    /// @brief Keeps the value of a setting that takes effect only at the next start.
    template <typename Value>
    void keep(const char *name, Value NodeSettings::*setting)
    {
        if (m_inForce.*setting != m_change.settings.*setting) {
            m_change.nextStart.emplace_back(name);
            m_change.settings.*setting = m_inForce.*setting;
        }
    }

    SettingsChange change() const
    {
        return m_change;
    }

private:
    const NodeSettings &m_inForce;
    SettingsChange m_change;
};

void compareBounds(Comparison &comparison)
{
    comparison.take("key-revocation-ms", &ServingBounds::keyRevocation);
    comparison.take("state-apply-ms", &ServingBounds::stateApply);
    comparison.take("drain-ms", &ServingBounds::drain);
    comparison.take("max-target-pause-s", &ServingBounds::maxTargetPause);
    comparison.take("stop-grace-s", &ServingBounds::stopGrace);
    comparison.take("address-reuse-s", &ServingBounds::addressReuse);
    comparison.take("retry-ratio", &ServingBounds::retryRatio);
    comparison.take("retry-window-s", &ServingBounds::retryWindow);
    comparison.take("retry-slack", &ServingBounds::retrySlack);
    comparison.take("quota-window-s", &ServingBounds::quotaWindow);
    comparison.take("quota-overage", &ServingBounds::quotaOverage);
    comparison.take("quota-slack", &ServingBounds::quotaSlack);
    comparison.take("allowance-wait", &ServingBounds::allowanceWait);
    comparison.take("ranked-gap-ms", &ServingBounds::rankedGap);
    comparison.take("load-window-s", &ServingBounds::loadWindow);
    comparison.take("load-overage", &ServingBounds::loadOverage);
    comparison.take("order-lease-ms", &ServingBounds::orderLease);
    comparison.take("max-answer-kb", &ServingBounds::maxAnswerKb);
    comparison.take("max-event-kb", &ServingBounds::maxEventKb);
    comparison.take("max-answers-mb", &ServingBounds::maxAnswersMb);
    comparison.take("targets-check-fences", &ServingBounds::targetsCheckFences);
}

} // namespace

SettingsChange compareSettings(const NodeSettings &inForce, const NodeSettings &read)
{
    Comparison comparison(inForce, read);
    comparison.keep("name", &NodeSettings::name);
    comparison.keep("role", &NodeSettings::role);
    comparison.keep("ip", &NodeSettings::ip);
    comparison.keep("domain", &NodeSettings::domain);
    comparison.keep("peer-port-first", &NodeSettings::firstPeerPort);
    comparison.keep("peer-port-last", &NodeSettings::lastPeerPort);
    comparison.keep("listen-address", &NodeSettings::listenAddress);
    comparison.keep("readiness-address", &NodeSettings::readinessAddress);
    comparison.keep("target-address", &NodeSettings::targetAddress);
    comparison.keep("first-start", &NodeSettings::firstStart);
    comparison.take("store-address", &NodeSettings::storeAddress);
    comparison.take("pool", &NodeSettings::pool);
    comparison.take("memory-limit-mb", &NodeSettings::memoryLimitMb);
    comparison.take("max-descriptors", &NodeSettings::maxDescriptors);
    comparison.take("max-held-mb", &NodeSettings::maxHeldMb);
    comparison.take("cpu-share", &NodeSettings::cpuShare);
    comparison.take("heartbeat-ms", &NodeSettings::heartbeat);
    compareBounds(comparison);
    return comparison.change();
}

} // namespace celeryroute
