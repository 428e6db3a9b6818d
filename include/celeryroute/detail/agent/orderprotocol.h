#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/detail/http/httpmulticlient.h>
#include <celeryroute/detail/residency/engineinventory.h>
#include <celeryroute/detail/residency/modelorder.h>

#include <optional>
#include <string>

namespace celeryroute {

/// @brief Builds the HTTP call that sends @p order to the engine at @p targetUrl.
HttpCall orderRequest(const std::string &targetUrl, const ModelOrder &order, Duration timeout);

/// @brief Interprets the answer to an order. @p status is empty if no answer was received.
OrderOutcome orderOutcome(std::optional<int> status, const HttpCallEnd &end);

/// @brief Builds the HTTP call that reads an engine's inventory.
HttpCall inventoryRequest(const std::string &targetUrl);

/// @brief Parses the inventory in @p body. Returns nothing if it is malformed.
std::optional<EngineInventory> parseInventory(const std::string &body);

} // namespace celeryroute
