#pragma once

#include "deployment.h"

#include <records.pb.h>

#include <string>

namespace celeryroute {

/// @brief A small fleet for whole-path tests: two engines, one courier service, two entries.
///
/// Customers `hotel` and `shop` may chat with all models of `advisor`; `/couriers` is the hotel's
/// and may not be repeated; `/prices` is open to all.
class SampleFleet
{
public:
    SampleFleet();
    /// @brief Settings that tests may change before they start a fleet of their own.
    static DeploymentSpec defaultSpec();
    explicit SampleFleet(DeploymentSpec spec);

    Deployment &deployment();
    const std::string &entryUrl(std::size_t number = 0);

    /// @brief Appends a record to the log, past the command-line tool.
    void append(const proto::LogRecord &appended) const;
    void grantKey(const std::string &key, const std::string &customer) const;
    void withdrawKey(const std::string &key) const;
    /// @brief Every byte that the targets received.
    std::string receivedByTargets();

    static constexpr const char *HotelKey = "hotel-secret-key-0001";
    static constexpr const char *ShopKey = "shop-secret-key-0002";

private:
    bool waitUntilServing();

    Deployment m_deployment;
};

} // namespace celeryroute
