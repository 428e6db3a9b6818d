#pragma once

#include <celeryroute/detail/platform/hostentry.h>
#include <celeryroute/result.h>

#include <string>
#include <vector>

namespace celeryroute {

/// @name The JSON of the host list; docs/PLATFORM.md describes it. Decoding fails with
/// MessageMalformed.
/// @{
std::string encodeHostList(const std::vector<HostEntry> &entries);
Result<std::vector<HostEntry>> decodeHostList(const std::string &text);
std::string encodeHostEntry(const HostEntry &entry);
Result<HostEntry> decodeHostEntry(const std::string &text);
/// @}

} // namespace celeryroute
