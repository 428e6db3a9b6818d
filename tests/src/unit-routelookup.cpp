#include <celeryroute/detail/state/routelookup.h>
#include <celeryroute/detail/state/specconversion.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {
PoolSpec enginePool()
{
    PoolSpec pool;
    pool.name = "stain-advisor";
    pool.kind = PoolKind::Engine;
    pool.memoryMb = 40000;
    pool.targetsCheckFencing = true;
    pool.models = {{"oak", 8000, 2, 1, {{"walnut", 50, 3, 7}}}, {"pine", 4000, 1, 1, {}}};
    pool.store = {4, 4, 30};
    return pool;
}

RouteSpec engineRoute(const std::string &name, std::vector<std::string> models, std::vector<std::string> customers)
{
    RouteSpec route;
    route.name = name;
    route.pool = "stain-advisor";
    route.models = std::move(models);
    route.open = customers.empty();
    route.customers = std::move(customers);
    return route;
}

RouteSpec serviceRouteSpec(const std::string &name, const std::string &path)
{
    RouteSpec route;
    route.name = name;
    route.pool = "dispatch-desk";
    route.path = path;
    route.open = true;
    route.tokensPerCall = 10;
    return route;
}
} // namespace

TEST_GROUP(RouteLookup)
{
    FleetState state;

    void setup() override
    {
        StateTables tables;
        tables.pools.edit()["stain-advisor"] = {enginePool(), 1};
        RouteTable &routes = tables.routes.edit();
        routes["counter"] = {engineRoute("counter", {"oak"}, {"shop"}), 2};
        routes["hotel"] = {engineRoute("hotel", {"*"}, {"hotel"}), 3};
        routes["hotel"].value.urgency = Urgency::Interactive;
        routes["public"] = {engineRoute("public", {"pine"}, {}), 4};
        routes["couriers"] = {serviceRouteSpec("couriers", "/couriers"), 5};
        routes["bookings"] = {serviceRouteSpec("bookings", "/couriers/bookings"), 6};
        state = FleetState(std::move(tables));
    }
};

TEST(RouteLookup, adapter_hasItsOwnReplicas)
{
    LONGS_EQUAL(3, declaredReplicas(state, "stain-advisor", "oak/walnut"));
    LONGS_EQUAL(2, declaredReplicas(state, "stain-advisor", "oak"));
    LONGS_EQUAL(0, declaredReplicas(state, "stain-advisor", "pine/walnut"));
    LONGS_EQUAL(0, declaredReplicas(state, "no-pool", "oak"));
}

TEST(RouteLookup, visibleModels_areModelsOfCallableRoutes)
{
    const std::vector<std::string> anonymous = {"pine"};
    const std::vector<std::string> shop = {"oak", "pine"};
    const std::vector<std::string> hotel = {"oak", "oak/walnut", "pine"};
    CHECK(visibleModels(state, "") == anonymous);
    CHECK(visibleModels(state, "shop") == shop);
    CHECK(visibleModels(state, "hotel") == hotel);
}

TEST(RouteLookup, callableRoutes_areSortedByUrgencyWithoutForbiddenRoutes)
{
    const std::vector<const RouteSpec *> routes = callableRoutes(state, "hotel", "pine");
    LONGS_EQUAL(2, routes.size());
    STRCMP_EQUAL("hotel", routes[0]->name.c_str());
    STRCMP_EQUAL("public", routes[1]->name.c_str());
    LONGS_EQUAL(0, callableRoutes(state, "", "oak").size());
    LONGS_EQUAL(2, routesForModel(state, "oak").size());
}

TEST(RouteLookup, serviceRoute_hasLongestPathPrefix)
{
    STRCMP_EQUAL("couriers", serviceRoute(state, "/couriers")->name.c_str());
    STRCMP_EQUAL("couriers", serviceRoute(state, "/couriers/parcel/7")->name.c_str());
    STRCMP_EQUAL("bookings", serviceRoute(state, "/couriers/bookings")->name.c_str());
    POINTERS_EQUAL(nullptr, serviceRoute(state, "/couriersX"));
}

TEST(RouteLookup, specsConvertedToMessagesAndBack_areUnchanged)
{
    const PoolSpec pool = enginePool();
    CHECK(fromProto(toProto(pool)) == pool);
    const RouteSpec route = state.route("hotel")->value;
    CHECK(fromProto(toProto(route)) == route);
    const RouteSpec service = state.route("couriers")->value;
    CHECK(fromProto(toProto(service)) == service);
    const CustomerSpec customer{"hotel", 1000, 5000, 2};
    CHECK(fromProto(toProto(customer)) == customer);
}

TEST(RouteLookup, editOfCopiedTables_doesNotChangeOriginal)
{
    StateTables tables = state.tables();
    tables.routes.edit().erase("hotel");
    tables.authorities.insertOrAssign("p/m", Authority{"p", "m", 9, {}});
    CHECK(state.route("hotel") != nullptr);
    POINTERS_EQUAL(nullptr, state.authority("p", "m"));
    POINTERS_EQUAL(nullptr, FleetState(tables).route("hotel"));
}
