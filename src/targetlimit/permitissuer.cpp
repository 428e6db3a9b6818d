#include <celeryroute/detail/targetlimit/permitissuer.h>

#include <algorithm>
#include <tuple>

namespace celeryroute {

namespace {

constexpr double BurstSeconds = 0.25; // Permits of this time may be granted at once.
constexpr double MaxBurst = 3; // Permits that may be granted at once beyond the first.
constexpr double OnePermit = 1 - 1e-6; // Leaves room for rounding.
constexpr double MajorityShare = 0.5;
constexpr Duration EntryRetention = std::chrono::minutes(1); // After its last request.

} // namespace

PermitIssuer::PermitIssuer(double phase, TimePoint now)
    : m_phase(phase)
    , m_level(phase)
    , m_filledAt(now)
{}

void PermitIssuer::setRate(double perSecond, double share, TimePoint now)
{
    fill(now);
    m_rate = std::max(perSecond, MinRate) * share;
    m_share = share;
    m_level = std::min(m_level, burst());
}

void PermitIssuer::empty(TimePoint now)
{
    m_level = std::min(m_level, m_phase);
    m_filledAt = now;
}

// Entries that don't hear each other are many issuers for one target. If each saved a permit while idle, they could
// grant all of these at once. So an issuer with a small share saves less than one.
double PermitIssuer::burst() const
{
    if (m_share <= MajorityShare && wanted() == 0) {
        return m_phase;
    }
    return 1 + std::min(MaxBurst, m_rate * BurstSeconds) * m_share;
}

void PermitIssuer::fill(TimePoint now)
{
    m_level = std::min(burst(), m_level + m_rate * toSeconds(std::max(now - m_filledAt, Duration::zero())));
    m_filledAt = std::max(now, m_filledAt);
}

void PermitIssuer::request(const std::string &entry, const PermitRequest &request, TimePoint now)
{
    fill(now);
    Entry &asking = m_entries[entry];
    if (request.askedAtMs < asking.request.askedAtMs && now - asking.receivedAt < RequestLifetime) {
        return;
    }
    // Grants that crossed the request are part of what it asks for.
    std::uint32_t underWay = 0;
    std::erase_if(asking.unseen, [&](const Sent &sent) {
        return sent.number <= request.seenGrant || now - sent.at > RequestLifetime;
    });
    for (const Sent &sent : asking.unseen) {
        underWay += sent.calls;
    }
    asking.request = request;
    asking.waiting = request.calls > underWay ? request.calls - underWay : 0;
    asking.receivedAt = now;
    asking.answered = false;
}

void PermitIssuer::dropOldRequests(TimePoint now)
{
    for (auto &[name, entry] : m_entries) {
        if (now - entry.receivedAt > RequestLifetime) {
            entry.waiting = 0;
        }
    }
    std::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.receivedAt > EntryRetention; });
}

std::map<std::string, PermitIssuer::Entry>::iterator PermitIssuer::mostUrgent()
{
    auto best = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        const auto rank = [](const Entry &asking) { return std::tie(asking.request.priority, asking.servedAt); };
        if (entry->second.waiting > 0 && (best == m_entries.end() || rank(entry->second) < rank(best->second))) {
            best = entry;
        }
    }
    return best;
}

std::vector<std::pair<std::string, PermitGrant>> PermitIssuer::grant(TimePoint now)
{
    fill(now);
    dropOldRequests(now);
    std::map<std::string, std::uint32_t> granted;
    for (auto entry = mostUrgent(); m_level >= OnePermit && entry != m_entries.end(); entry = mostUrgent()) {
        m_level -= 1;
        --entry->second.waiting;
        entry->second.servedAt = now;
        ++granted[entry->first];
    }
    std::vector<std::pair<std::string, PermitGrant>> grants;
    const Duration next = fromSeconds((static_cast<double>(wanted()) + 1 - m_level) / std::max(m_rate, MinRate / 100));
    for (auto &[name, entry] : m_entries) {
        const auto found = granted.find(name);
        const std::uint32_t calls = found == granted.end() ? 0 : found->second;
        if (calls == 0 && (entry.waiting == 0 || entry.answered)) {
            continue;
        }
        entry.answered = true;
        if (calls > 0) {
            entry.unseen.push_back({++entry.grants, calls, now});
        }
        grants.emplace_back(name,
                            PermitGrant{entry.request.target, entry.grants, calls, entry.request.askedAtMs, next});
    }
    return grants;
}

std::optional<TimePoint> PermitIssuer::due() const
{
    if (wanted() == 0 || m_rate <= 0) {
        return std::nullopt;
    }
    return m_filledAt + fromSeconds(std::max(0.0, 1 - m_level) / m_rate);
}

std::uint64_t PermitIssuer::wanted() const
{
    std::uint64_t calls = 0;
    for (const auto &[name, entry] : m_entries) {
        calls += entry.waiting;
    }
    return calls;
}

} // namespace celeryroute
