#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/detail/http/httpmulticlient.h>
#include <celeryroute/detail/residency/engineinventory.h>
#include <celeryroute/detail/residency/modelorder.h>

#include <optional>
#include <string>

namespace celeryroute {

/// @brief The call that gives @p order to the engine at @p targetUrl.
HttpCall orderRequest(const std::string &targetUrl, const ModelOrder &order, Duration timeout);

/// @brief What an order's answer means; @p status is empty when no answer came.
OrderOutcome orderOutcome(std::optional<int> status, const HttpCallEnd &end);

/// @brief The call that reads an engine's inventory.
HttpCall inventoryRequest(const std::string &targetUrl);

/// @brief The inventory in @p body; empty when it is malformed.
std::optional<EngineInventory> parseInventory(const std::string &body);

} // namespace celeryroute
