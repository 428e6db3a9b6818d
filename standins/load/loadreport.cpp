#include <standins/loadreport.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

using Json = nlohmann::json;

constexpr double Median = 0.5;
constexpr double Tail = 0.99;

Json countsJson(const LoadCounts &counts)
{
    Json refusals = Json::object();
    for (const auto &[code, count] : counts.refusals) {
        refusals[std::to_string(code)] = count;
    }
    return {{"sent", counts.sent},
            {"answered", counts.answered},
            {"refused", counts.refused},
            {"unanswered", counts.unanswered},
            {"wrong", counts.wrong},
            {"refusals", refusals}};
}

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000.0;
}

Json quantilesJson(const std::vector<Duration> &samples)
{
    return {{"samples", samples.size()},
            {"median_ms", milliseconds(quantile(samples, Median))},
            {"p99_ms", milliseconds(quantile(samples, Tail))}};
}

Json comparisonJson(const std::vector<Duration> &routed, const std::vector<Duration> &direct)
{
    Json comparison = Json::object();
    for (const auto &[name, fraction] : {std::pair("median", Median), std::pair("p99", Tail)}) {
        const double through = milliseconds(quantile(routed, fraction));
        const double straight = milliseconds(quantile(direct, fraction));
        comparison[std::string(name) + "_added_ms"] = through - straight;
        comparison[std::string(name) + "_ratio"] = straight > 0 ? through / straight : 0.0;
    }
    return comparison;
}

} // namespace

Duration quantile(std::vector<Duration> samples, double fraction)
{
    if (samples.empty()) {
        return Duration::zero();
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index), samples.end());
    return samples[index];
}

std::string toJson(const LoadRunReport &report)
{
    Json customers = Json::object();
    for (const auto &[customer, counts] : report.byCustomer) {
        customers[customer] = countsJson(counts);
    }
    Json json = {{"chats", countsJson(report.chats)},
                 {"bookings", countsJson(report.bookings)},
                 {"customers", customers},
                 {"first_token", quantilesJson(report.routed.firstToken)},
                 {"between_tokens", quantilesJson(report.routed.betweenTokens)}};
    if (!report.direct.firstToken.empty()) {
        json["direct"] = {{"chats", countsJson(report.directChats)},
                          {"first_token", quantilesJson(report.direct.firstToken)},
                          {"between_tokens", quantilesJson(report.direct.betweenTokens)}};
        json["routed_against_direct"] = {
            {"first_token", comparisonJson(report.routed.firstToken, report.direct.firstToken)},
            {"between_tokens", comparisonJson(report.routed.betweenTokens, report.direct.betweenTokens)}};
    }
    return json.dump(2);
}

} // namespace celeryroute
