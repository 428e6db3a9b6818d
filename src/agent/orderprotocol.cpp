#include <celeryroute/detail/agent/orderprotocol.h>
#include <celeryroute/detail/residency/itemname.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

constexpr Duration InventoryTimeout = std::chrono::seconds(1);

constexpr int HttpOk = 200;
constexpr int HttpConflict = 409;
constexpr int HttpInsufficientStorage = 507;

ItemPhase phaseOf(const std::string &state)
{
    if (state == "resident") {
        return ItemPhase::Resident;
    }
    return state == "unloading" ? ItemPhase::Unloading : ItemPhase::Loading;
}

InventoryItem parseItem(const nlohmann::json &json)
{
    InventoryItem item;
    item.item = itemName(json.at("model").get<std::string>(), json.value("adapter", std::string()));
    item.memoryMb = json.at("memory_mb").get<std::uint32_t>();
    item.version = json.value("version", 0U);
    item.fencing = json.value("fencing", std::uint64_t(0));
    item.phase = phaseOf(json.value("state", std::string("resident")));
    return item;
}

} // namespace

HttpCall orderRequest(const std::string &targetUrl, const ModelOrder &order, Duration timeout)
{
    nlohmann::json body = {{"model", baseModel(order.item)},
                           {"memory_mb", order.memoryMb},
                           {"version", order.version},
                           {"fencing", order.fencing}};
    if (isAdapter(order.item)) {
        body["adapter"] = adapterName(order.item);
    }
    HttpCall call;
    call.method = "POST";
    call.url = targetUrl + (order.kind == OrderKind::Load ? "/v1/orders/load" : "/v1/orders/unload");
    call.headers["content-type"] = "application/json";
    call.body = body.dump();
    call.totalTimeout = timeout;
    call.freshConnection = true;
    return call;
}

OrderOutcome orderOutcome(std::optional<int> status, const HttpCallEnd &end)
{
    if (end.error) {
        return end.connected ? OrderOutcome::InDoubt : OrderOutcome::NotSent;
    }
    switch (status.value_or(0)) {
    case HttpOk:
        return OrderOutcome::Done;
    case HttpConflict:
        return OrderOutcome::FencingRefused;
    case HttpInsufficientStorage:
        return OrderOutcome::NoMemory;
    case 502:
        return OrderOutcome::StoreFailed;
    default:
        return OrderOutcome::InDoubt;
    }
}

HttpCall inventoryRequest(const std::string &targetUrl)
{
    HttpCall call;
    call.url = targetUrl + "/v1/inventory";
    call.totalTimeout = InventoryTimeout;
    call.freshConnection = true;
    return call;
}

std::optional<EngineInventory> parseInventory(const std::string &body)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(body);
        EngineInventory inventory;
        inventory.memoryMb = json.at("memory_mb").get<std::uint32_t>();
        for (const nlohmann::json &item : json.at("items")) {
            inventory.items.push_back(parseItem(item));
        }
        return inventory;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace celeryroute
