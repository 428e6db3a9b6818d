#include <celeryroute/detail/feed/topicfollowersettings.h>

#include <celeryroute/detail/feed/keyfreshness.h>

#include <algorithm>
#include <cstdint>

namespace celeryroute {

namespace {

// Longest time for which the store may hold a read. It bounds the time until a dead connection is detected.
constexpr Duration MaxHold = std::chrono::seconds(10);
// When the store goes down, keys stay fresh for the revocation bound minus one long poll and the margin of
// KeyFreshness.
constexpr int KeyHoldPercent = 28;
constexpr int BatchDelaysPerBound = 10;
/// With more readers, each reads the registry more rarely.
constexpr int ReadersAtShortestDelay = 8;
/// Part of the bound on draining; the rest is for the read, a retry and the calls that were sent before.
constexpr int MaxDelayPercent = 40;

TopicFollowerSettings commonSettings(const ServingBounds &bounds)
{
    const Duration revocation = bounds.keyRevocation;
    TopicFollowerSettings settings;
    settings.hold = MaxHold;
    settings.minAnswerTimeout = revocation * 2 / 25;
    settings.maxAnswerTimeout = revocation / 4;
    settings.minBackoff = revocation / 100;
    settings.maxBackoff = revocation / 5;
    settings.cautionPeriod = revocation;
    return settings;
}

} // namespace

TopicFollowerSettings TopicFollowerSettings::forKeys(const ServingBounds &bounds)
{
    TopicFollowerSettings settings = forState(bounds);
    settings.hold = bounds.keyRevocation * KeyHoldPercent / 100;
    settings.recordValidity = KeyFreshness(bounds.keyRevocation).validity();
    return settings;
}

TopicFollowerSettings TopicFollowerSettings::forState(const ServingBounds &bounds)
{
    TopicFollowerSettings settings = commonSettings(bounds);
    settings.batchDelay = bounds.stateApply / BatchDelaysPerBound;
    return settings;
}

// Targets renew their records all the time, so every reader reads once per delay.
TopicFollowerSettings TopicFollowerSettings::forTargets(const ServingBounds &bounds, std::size_t readers)
{
    TopicFollowerSettings settings = commonSettings(bounds);
    const Duration delay = bounds.drain / BatchDelaysPerBound;
    settings.batchDelay = std::clamp(delay * static_cast<std::int64_t>(readers) / ReadersAtShortestDelay,
                                     delay,
                                     bounds.drain * MaxDelayPercent / 100);
    return settings;
}

} // namespace celeryroute
