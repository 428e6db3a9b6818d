#include "samplefleet.h"

#include "httpcalls.h"

#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/state/newrecord.h>
#include <celeryroute/detail/state/specconversion.h>

#include <cstdio>
#include <stdexcept>

namespace celeryroute {

namespace {

constexpr double AmpleTokensPerSecond = 1e6;
const std::string Author = "test";
constexpr Duration HangGuard = std::chrono::seconds(20);

proto::LogRecord record()
{
    return newRecord(Author, std::chrono::system_clock::now());
}

PoolSpec advisorPool()
{
    PoolSpec pool;
    pool.name = "advisor";
    pool.kind = PoolKind::Engine;
    pool.memoryMb = 1000;
    pool.maxConcurrent = 32;
    pool.maxQueued = 200;
    pool.targetsCheckFencing = true;
    pool.store = StoreLimits{10, 4, 30};
    for (const char *name : {"oak", "pine", "teak"}) {
        ModelSpec model;
        model.name = name;
        model.memoryMb = 300;
        model.replicas = 1;
        model.version = 1;
        pool.models.push_back(model);
    }
    pool.models.front().adapters.push_back(AdapterSpec{"wax", 10, 1, 1});
    return pool;
}

PoolSpec courierPool()
{
    PoolSpec pool;
    pool.name = "couriers";
    pool.kind = PoolKind::Service;
    pool.maxConcurrent = 16;
    pool.maxQueued = 100;
    return pool;
}

RouteSpec chatRoute()
{
    RouteSpec route;
    route.name = "chat";
    route.pool = "advisor";
    route.models = {"*"};
    route.customers = {"hotel", "shop"};
    route.urgency = Urgency::Interactive;
    route.deadlineMs = 30'000;
    route.repeatable = true;
    return route;
}

RouteSpec bookingRoute()
{
    RouteSpec route;
    route.name = "booking";
    route.pool = "couriers";
    route.path = "/couriers";
    route.customers = {"hotel"};
    route.deadlineMs = 30'000;
    route.tokensPerCall = 10;
    return route;
}

RouteSpec priceRoute()
{
    RouteSpec route;
    route.name = "prices";
    route.pool = "couriers";
    route.path = "/prices";
    route.open = true;
    route.repeatable = true;
    route.deadlineMs = 30'000;
    route.tokensPerCall = 1;
    return route;
}

proto::LogRecord declarations()
{
    proto::LogRecord change = record();
    for (const char *name : {"hotel", "shop"}) {
        const CustomerSpec customer{name, AmpleTokensPerSecond, AmpleTokensPerSecond, 1};
        *change.mutable_declaration_change()->add_changes()->mutable_customer() = toProto(customer);
    }
    for (const PoolSpec &pool : {advisorPool(), courierPool()}) {
        *change.mutable_declaration_change()->add_changes()->mutable_pool() = toProto(pool);
    }
    for (const RouteSpec &route : {chatRoute(), bookingRoute(), priceRoute()}) {
        *change.mutable_declaration_change()->add_changes()->mutable_route() = toProto(route);
    }
    return change;
}

} // namespace

DeploymentSpec SampleFleet::defaultSpec()
{
    DeploymentSpec spec;
    spec.pools = {{"advisor", true, 2, {"--memory-mb=1000", "--first-token-ms=5", "--tokens-per-second=500"}},
                  {"couriers", false, 1, {}}};
    spec.entries = 2;
    spec.weightsArguments = {"--loads-per-second=50", "--mb-per-second=100000"};
    return spec;
}

SampleFleet::SampleFleet()
    : SampleFleet(defaultSpec())
{}

SampleFleet::SampleFleet(DeploymentSpec spec)
    : m_deployment(std::move(spec))
{
    append(declarations());
    grantKey(HotelKey, "hotel");
    grantKey(ShopKey, "shop");
    if (!m_deployment.waitUntilReady() || !waitUntilServing()) {
        throw std::runtime_error("the fleet did not become ready");
    }
}

// An entry is ready before the lagging host list has shown it every agent.
bool SampleFleet::waitUntilServing()
{
    const TimePoint giveUp = MonotonicClock::now() + HangGuard;
    for (const Deployment::Entry &entry : m_deployment.entries()) {
        HttpResponse last;
        do {
            if (MonotonicClock::now() > giveUp) {
                std::fprintf(stderr, "%s\n%s\n", last.body.c_str(), entry.process->errorOutput().c_str());
                return false;
            }
            last = callHttp("GET", entry.url + "/prices/ready");
        } while (last.status != 200);
    }
    return true;
}

Deployment &SampleFleet::deployment()
{
    return m_deployment;
}

const std::string &SampleFleet::entryUrl(std::size_t number)
{
    return m_deployment.entries()[number].url;
}

void SampleFleet::append(const proto::LogRecord &appended) const
{
    const HttpResponse response = callHttp("POST", m_deployment.logUrl() + "/v1/records", appended.SerializeAsString());
    if (response.status != 200) {
        throw std::runtime_error("the log refused a record: " + response.body);
    }
}

void SampleFleet::grantKey(const std::string &key, const std::string &customer) const
{
    proto::LogRecord grant = record();
    grant.mutable_key_grant()->set_key_digest(sha256(key));
    grant.mutable_key_grant()->set_customer(customer);
    append(grant);
}

void SampleFleet::withdrawKey(const std::string &key) const
{
    proto::LogRecord withdrawal = record();
    withdrawal.mutable_key_withdrawal()->set_key_digest(sha256(key));
    append(withdrawal);
}

std::string SampleFleet::receivedByTargets()
{
    std::string received;
    for (const Deployment::Worker &worker : m_deployment.workers()) {
        received += callHttp("GET", worker.targetUrl + "/control/received").body;
    }
    return received;
}

} // namespace celeryroute
