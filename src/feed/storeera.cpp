#include <celeryroute/detail/feed/storeera.h>

#include <utility>

namespace celeryroute {

namespace {

// Tokens are sent as JSON numbers, which are exact up to 2^53.
constexpr std::uint64_t OffsetsPerEra = std::uint64_t{1} << 32U;

} // namespace

StoreEra::Change StoreEra::note(std::optional<std::uint64_t> era)
{
    if (!era) {
        return Change::None;
    }
    const bool wasKnown = std::exchange(m_isKnown, true);
    if (wasKnown && *era < m_era) {
        return Change::Older;
    }
    if (!wasKnown) {
        m_era = *era;
        return Change::First;
    }
    const bool isNewer = *era > m_era;
    m_era = *era;
    return isNewer ? Change::Newer : Change::None;
}

std::uint64_t fencingToken(std::uint64_t era, std::uint64_t offset)
{
    return era * OffsetsPerEra + offset + 1;
}

} // namespace celeryroute
