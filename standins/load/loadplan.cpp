#include <standins/loadplan.h>

#include <absl/strings/str_cat.h>

#include <random>

namespace celeryroute {

namespace {

// The first customer sends twice as much as the second and so on, as a few are large.
std::discrete_distribution<std::size_t> fallingShares(std::size_t count)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < count; ++i) {
        weights.push_back(1.0 / static_cast<double>(i + 1));
    }
    return {weights.begin(), weights.end()};
}

LoadKind drawKind(const LoadSettings &settings, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> unit;
    if (!settings.servicePath.empty() && unit(random) < settings.bookingFraction) {
        return LoadKind::Booking;
    }
    return unit(random) < settings.streamFraction ? LoadKind::Stream : LoadKind::Whole;
}

} // namespace

std::vector<PlannedCall> planLoad(const LoadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gap(settings.callsPerSecond);
    std::discrete_distribution<std::size_t> customer = fallingShares(settings.keys.size());
    std::discrete_distribution<std::size_t> model = fallingShares(settings.models.size());
    std::uniform_int_distribution<std::size_t> entry(0, settings.entryUrls.size() - 1);
    std::vector<PlannedCall> calls;
    Duration time = fromSeconds(gap(random));
    while (time < settings.length) {
        PlannedCall call;
        call.start = time;
        call.kind = drawKind(settings, random);
        call.customer = customer(random);
        call.entry = entry(random);
        call.model = settings.models[model(random)];
        call.text = absl::StrCat("call ", calls.size(), " of seed ", settings.seed);
        calls.push_back(std::move(call));
        time += fromSeconds(gap(random));
    }
    return calls;
}

} // namespace celeryroute
