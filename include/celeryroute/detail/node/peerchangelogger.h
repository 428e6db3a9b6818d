#pragma once

#include <celeryroute/detail/node/nodecore.h>
#include <celeryroute/detail/node/peerroster.h>

#include <string_view>

namespace celeryroute {

/// @brief Returns a callback that logs each peer of @p role that is lost or heard again; @p core must outlive it.
PeerRoster::ChangeCallback peerChangeLogger(NodeCore &core, std::string_view role);

} // namespace celeryroute
