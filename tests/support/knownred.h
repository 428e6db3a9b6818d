#pragma once

#include <istream>
#include <string>
#include <vector>

namespace celeryroute::test {

/// @brief Tests of @p program that @p list names as failing for a known fault, as `GROUP.TEST`.
///
/// An entry is a line whose first field, up to a `|`, is `PROGRAM GROUP.TEST`. Lines with another first field
/// name no single test and are left out.
std::vector<std::string> knownRedTests(std::istream &list, const std::string &program);

} // namespace celeryroute::test
