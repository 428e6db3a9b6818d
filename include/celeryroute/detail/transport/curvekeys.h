#pragma once

#include <string>

namespace celeryroute {

/// @brief Keys for encrypted links, in Z85 text; all empty means plain text.
///
/// One pair is shared by all processes of a deployment: whoever holds it is a peer.
struct CurveKeys {
    std::string publicKey;
    std::string secretKey;
    bool enabled() const
    {
        return !secretKey.empty();
    }
    bool operator==(const CurveKeys &) const = default;
};

} // namespace celeryroute
