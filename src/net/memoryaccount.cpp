#include <celeryroute/detail/net/memoryaccount.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::size_t ReservedParts = 8; ///< One part of the limit is kept free of large holdings.
constexpr std::size_t GroupNumerator = 3; ///< A customer or address may hold three quarters of the limit.
constexpr std::size_t GroupDenominator = 4;

// A connection without progress for long goes before one that holds as much and has just made progress.
double weight(const MemoryAccount::Holding &holding, TimePoint now)
{
    constexpr Duration Least = std::chrono::milliseconds(1);
    return static_cast<double>(holding.bytes()) * toSeconds(now - holding.progressAt() + Least);
}

} // namespace

std::optional<MemoryAccount::Excess> MemoryAccount::excess(TimePoint now) const
{
    // A single large request is within the limits, however small the account is.
    if (m_limit == 0 || m_large.size() < 2) {
        return std::nullopt;
    }
    if (held() > m_limit - m_limit / ReservedParts) {
        return worst(m_large, std::nullopt, now);
    }
    const std::size_t groupLimit = m_limit / GroupDenominator * GroupNumerator;
    for (const auto &[group, bytes] : m_groups) {
        if (bytes > groupLimit) {
            if (auto found = worst(m_large, group, now)) {
                found->pressure = MemoryPressure::Group;
                return found;
            }
        }
    }
    return std::nullopt;
}

// Requests that are not complete go first: nothing of them has been passed on, so they can be refused.
std::optional<MemoryAccount::Excess> MemoryAccount::worst(const std::map<std::uint64_t, Holding *> &holdings,
                                                          std::optional<std::uint64_t> group,
                                                          TimePoint now)
{
    Holding *worst = nullptr;
    std::size_t eligible = 0;
    for (const auto &[number, holding] : holdings) {
        if (group && holding->group() != *group) {
            continue;
        }
        ++eligible;
        const bool isEarlier = worst == nullptr
            || (holding->kind() != worst->kind() ? holding->kind() == HeldKind::Incoming
                                                 : weight(*holding, now) > weight(*worst, now));
        worst = isEarlier ? holding : worst;
    }
    if (eligible == 0 || (group && eligible < 2)) {
        return std::nullopt;
    }
    return Excess{worst, MemoryPressure::Total};
}

MemoryAccount::Holding::~Holding()
{
    set(m_kind, 0);
}

void MemoryAccount::Holding::set(HeldKind kind, std::size_t bytes)
{
    removeLarge();
    m_account.m_held[static_cast<std::size_t>(m_kind)] -= m_bytes;
    m_kind = kind;
    m_bytes = bytes;
    m_account.m_held[static_cast<std::size_t>(m_kind)] += m_bytes;
    addLarge();
}

void MemoryAccount::Holding::setGroup(std::uint64_t group)
{
    removeLarge();
    m_group = group;
    addLarge();
}

void MemoryAccount::Holding::addLarge()
{
    if (m_bytes > SmallBytes) {
        m_account.m_large.emplace(m_number, this);
        m_account.m_groups[m_group] += m_bytes;
    }
}

void MemoryAccount::Holding::removeLarge()
{
    if (m_bytes > SmallBytes) {
        m_account.m_large.erase(m_number);
        const auto found = m_account.m_groups.find(m_group);
        found->second -= m_bytes;
        if (found->second == 0) {
            m_account.m_groups.erase(found);
        }
    }
}

} // namespace celeryroute
