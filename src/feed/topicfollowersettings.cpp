#include <celeryroute/detail/feed/topicfollowersettings.h>

#include <celeryroute/detail/feed/keyfreshness.h>

namespace celeryroute {

namespace {

// Longest time for which the store may hold a read. It bounds the time until a dead connection is detected.
constexpr Duration MaxHold = std::chrono::seconds(10);
// When the store goes down, keys stay fresh for the revocation bound minus one long poll and the margin of
// KeyFreshness.
constexpr int KeyHoldPercent = 28;
constexpr int BatchDelaysPerBound = 10;

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

TopicFollowerSettings TopicFollowerSettings::forTargets(const ServingBounds &bounds)
{
    TopicFollowerSettings settings = commonSettings(bounds);
    settings.batchDelay = bounds.drain / BatchDelaysPerBound;
    return settings;
}

} // namespace celeryroute
