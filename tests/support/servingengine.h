#pragma once

#include "servingtarget.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace celeryroute {

/// A model engine that carries out orders after a moment.
class ServingEngine
{
public:
    EventLoop &loop;
    ServingTarget server;
    nlohmann::json report;
    std::vector<nlohmann::json> orders;
    std::vector<std::string> orderedInstances;
    std::vector<ServingTarget::Request> held; ///< Requests for paths that end with `/hold`; they are not answered.
    std::size_t misplaced = 0;
    Duration orderTime = std::chrono::milliseconds(30); ///< That an order takes.
    bool silent = false; ///< Reports are not answered.

    ServingEngine(EventLoop &eventLoop, std::uint32_t ip);

    /// @brief Its entry in the registry.
    std::string record() const;

private:
    void serve(const ServingTarget::Request &request);
};

/// @brief A desired state with a route of each kind to a plain service or to engines.
nlohmann::json servingDesiredState(int version);

} // namespace celeryroute
