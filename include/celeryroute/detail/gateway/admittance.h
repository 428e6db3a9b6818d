#pragma once

#include <celeryroute/detail/gateway/routetable.h>
#include <celeryroute/time.h>

#include <memory>
#include <optional>
#include <string_view>

namespace celeryroute {

/// Why a request is not admitted, and what its caller is told.
struct AdmittanceRefusal {
    int status = 0;
    std::string_view reason;
    Duration retryAfter{};
    bool operator==(const AdmittanceRefusal &) const = default;
};

/// Route and customer of a request in one version of the desired state.
struct Admittance {
    std::shared_ptr<const RouteTable> table;
    const ServingRoute *route = nullptr; ///< Null if none matches.
    const ServingCustomer *customer = nullptr; ///< Null for a call without a key on an open route.
    std::optional<AdmittanceRefusal> refusal; ///< Set if the request must not be sent.
};

} // namespace celeryroute
