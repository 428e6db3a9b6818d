#include <celeryroute/detail/feed/evacuateddomains.h>

#include <utility>

namespace celeryroute {

std::optional<EvacuationEvent>
EvacuatedDomains::apply(const EvacuationRecord &record, std::uint64_t offset, bool mayBeLost)
{
    switch (record.reading) {
    case EvacuationReading::Unrelated:
        break;
    case EvacuationReading::Malformed:
        return EvacuationMalformed{record.domain, offset};
    case EvacuationReading::Begins:
        m_lost.erase(record.domain);
        if (m_domains.insert(record.domain).second) {
            return EvacuationBegan{record.domain, offset};
        }
        break;
    case EvacuationReading::Ends:
        if (!m_domains.contains(record.domain)) {
            break;
        }
        // Sending to an evacuated domain is worse than sparing it for some seconds too long.
        if (mayBeLost) {
            m_lost[record.domain] = offset;
            break;
        }
        m_lost.erase(record.domain);
        m_domains.erase(record.domain);
        return EvacuationEnded{record.domain, offset};
    }
    return std::nullopt;
}

std::vector<EvacuationEvent> EvacuatedDomains::endLost()
{
    std::vector<EvacuationEvent> events;
    for (const auto &[domain, offset] : std::exchange(m_lost, {})) {
        m_domains.erase(domain);
        events.emplace_back(EvacuationEnded{domain, offset});
    }
    return events;
}

} // namespace celeryroute
