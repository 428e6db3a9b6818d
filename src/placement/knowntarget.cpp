#include <celeryroute/detail/placement/knowntarget.h>

#include <celeryroute/detail/placement/itemkey.h>

#include <algorithm>
#include <cmath>

namespace celeryroute {

namespace {

using namespace std::chrono_literals;

constexpr double ForeignLoadMemory = 1; // Seconds; time constant of the decay of the last reported load.
constexpr double LatencyWeight = 0.2;
constexpr Duration LatencyMemory = 20s; // A slow target is tried again after this time.

} // namespace

KnownTarget::KnownTarget()
    : latency(LatencyWeight, LatencyMemory)
{}

bool KnownTarget::acceptsCalls() const
{
    return registered && !record.draining && !isLeaving() && !paused && !evacuated;
}

bool KnownTarget::isViewFresh(TimePoint now) const
{
    return view && now - viewReceivedAt < MaxAgentSilence;
}

std::optional<HeardMessage> KnownTarget::heardMessage(TimePoint now) const
{
    return isViewFresh(now) ? viewMessage : std::nullopt;
}

const std::vector<ResidentModel> &KnownTarget::models(TimePoint now) const
{
    return isViewFresh(now) ? view->models : record.models;
}

const ResidentModel *KnownTarget::model(const std::string &name, TimePoint now) const
{
    const std::vector<ResidentModel> &held = models(now);
    const auto model = std::find_if(held.begin(), held.end(), [&name](const ResidentModel &resident) {
        return resident.name == name;
    });
    return model == held.end() ? nullptr : &*model;
}

const LocalCopies &KnownTarget::copies(TimePoint now) const
{
    return isViewFresh(now) ? view->copies : record.copies;
}

std::optional<Duration> KnownTarget::loadingFor(const std::string &item, TimePoint now) const
{
    if (!isViewFresh(now)) {
        return std::nullopt;
    }
    for (const LoadingItem &loading : view->loading) {
        if (loading.item == item) {
            return std::max(Duration::zero(), viewReceivedAt + loading.remaining - now);
        }
    }
    return std::nullopt;
}

Duration KnownTarget::busyFor(TimePoint now) const
{
    Duration busy{};
    if (isViewFresh(now)) {
        for (const LoadingItem &loading : view->loading) {
            const bool ofModel = loading.item == modelOfItem(loading.item);
            busy = ofModel ? std::max(busy, viewReceivedAt + loading.remaining - now) : busy;
        }
    }
    return busy;
}

Duration KnownTarget::storeWait(TimePoint now) const
{
    return isViewFresh(now) ? std::max(Duration::zero(), viewReceivedAt + view->storeWait - now) : Duration::zero();
}

bool KnownTarget::declines(const std::string &item, TimePoint now) const
{
    return isViewFresh(now) && std::find(view->declined.begin(), view->declined.end(), item) != view->declined.end();
}

double KnownTarget::foreignWeight(TimePoint now) const
{
    return foreign.heard ? std::exp(-std::max(0.0, toSeconds(now - foreign.at)) / ForeignLoadMemory) : 0;
}

double KnownTarget::running(TimePoint now) const
{
    return own.calls - own.waiting + foreign.running * foreignWeight(now);
}

double KnownTarget::waiting(TimePoint now) const
{
    return own.waiting + foreign.waiting * foreignWeight(now);
}

double KnownTarget::cacheTokens(TimePoint now) const
{
    return static_cast<double>(own.cacheTokens) + foreign.cacheTokens * foreignWeight(now);
}

} // namespace celeryroute
