#pragma once

#include <string>

namespace celeryroute {

/// A caller's key, known by its SHA-256 digest only.
struct KeyEntry {
    std::string customer;
    std::string label;
    bool withdrawn = false;
    bool operator==(const KeyEntry &) const = default;
};

} // namespace celeryroute
