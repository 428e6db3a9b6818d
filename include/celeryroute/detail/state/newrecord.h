#pragma once

#include <celeryroute/time.h>

#include <records.pb.h>

#include <string>

namespace celeryroute {

/// @brief Creates a record without a body, with a new unique id, for @p author to append.
proto::LogRecord newRecord(const std::string &author, WallTime now);

} // namespace celeryroute
