#include <standins/loadorder.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

Result<LoadOrder> parseLoadOrder(const std::string &body)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(body);
        LoadOrder order;
        order.model = json.at("model").get<std::string>();
        order.adapter = json.value("adapter", "");
        order.memoryMb = json.value("memory_mb", std::uint64_t{0});
        order.version = json.value("version", std::uint64_t{0});
        order.fencing = json.value("fencing", std::uint64_t{0});
        return order;
    } catch (const nlohmann::json::exception &exception) {
        return fail(ResultCode::RequestMalformed, exception.what());
    }
}

} // namespace celeryroute
