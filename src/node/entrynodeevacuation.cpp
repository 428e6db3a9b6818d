#include <celeryroute/detail/node/entrynode.h>

#include <celeryroute/resultcode.h>

#include <algorithm>

namespace celeryroute {

// One read may bring several records, so the targets are counted by domain and not by what has changed.
std::size_t EntryNode::targetsIn(const std::string &domain) const
{
    const auto &targets = m_targets.targets();
    return static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [&domain](const auto &target) {
        return target.second.domain == domain;
    }));
}

void EntryNode::apply(const EvacuationBegan &event)
{
    useEvacuations();
    m_core.log.write(DecisionEvent::EvacuationBegan,
                     m_core.loop.now(),
                     {{"domain", event.domain},
                      {"offset", event.offset},
                      {"targets", targetsIn(event.domain)},
                      {"loads", m_gateway.replaceEvacuated()}});
}

void EntryNode::apply(const EvacuationEnded &event)
{
    useEvacuations();
    m_core.log.write(DecisionEvent::EvacuationEnded,
                     m_core.loop.now(),
                     {{"domain", event.domain}, {"offset", event.offset}, {"targets", targetsIn(event.domain)}});
}

void EntryNode::apply(const EvacuationMalformed &event)
{
    m_core.log.write(
        DecisionEvent::EvacuationMalformed,
        m_core.loop.now(),
        {{"key", event.key}, {"offset", event.offset}, {"code", static_cast<int>(ResultCode::EvacuationInvalid)}});
}

void EntryNode::useEvacuations()
{
    m_gateway.targetsChanged(m_targetTable.setEvacuated(m_desired.evacuations().domains(), m_core.loop.now()));
}

} // namespace celeryroute
