#include <celeryroute/detail/feed/followingsettings.h>

#include <celeryroute/detail/feed/freshness.h>

namespace celeryroute {

namespace {

// Longest long poll; it bounds the time until a dead connection is detected.
constexpr Duration LongHold = std::chrono::seconds(10);
// When the store goes down, keys stay fresh for the revocation bound minus one long poll and the margin of Freshness.
constexpr int KeyHoldPercent = 28;
constexpr int PacingsPerBound = 10;

FollowingSettings common(const ServingBounds &bounds)
{
    const Duration revocation = bounds.keyRevocation;
    FollowingSettings settings;
    settings.hold = LongHold;
    settings.leastPatience = revocation * 2 / 25;
    settings.mostPatience = revocation / 4;
    settings.leastRetry = revocation / 100;
    settings.mostRetry = revocation / 5;
    settings.caution = revocation;
    return settings;
}

} // namespace

FollowingSettings FollowingSettings::forKeys(const ServingBounds &bounds)
{
    FollowingSettings settings = forState(bounds);
    settings.hold = bounds.keyRevocation * KeyHoldPercent / 100;
    settings.freshFor = Freshness(bounds.keyRevocation).validity();
    return settings;
}

FollowingSettings FollowingSettings::forState(const ServingBounds &bounds)
{
    FollowingSettings settings = common(bounds);
    settings.pacing = bounds.stateApply / PacingsPerBound;
    return settings;
}

FollowingSettings FollowingSettings::forTargets(const ServingBounds &bounds)
{
    FollowingSettings settings = common(bounds);
    settings.pacing = bounds.drain / PacingsPerBound;
    return settings;
}

} // namespace celeryroute
