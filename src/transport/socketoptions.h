#pragma once

#include <celeryroute/detail/transport/curvekeys.h>

#include <optional>
#include <string>

namespace celeryroute {

namespace proto {
class Envelope;
}

/// @brief Sets limits and CURVE options that every socket of ours shares.
void applyCommonOptions(void *socket);
void applyServerKeys(void *socket, const CurveKeys &keys);
void applyClientKeys(void *socket, const CurveKeys &keys);

/// @brief Sends @p frames as one message without blocking; false when it was not queued.
bool sendEnvelope(void *socket, const std::string *routingId, const proto::Envelope &envelope);

/// @brief Receives one frame without blocking.
std::optional<std::string> receiveFrame(void *socket, bool &more);

} // namespace celeryroute
