#pragma once

#include <celeryroute/time.h>

#include <records.pb.h>

#include <string>

namespace celeryroute {

/// @brief A record without a body, with an id of its own, for @p author to append.
proto::LogRecord newRecord(const std::string &author, WallTime now);

} // namespace celeryroute
