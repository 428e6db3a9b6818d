#include <celeryroute/detail/claims/claimslot.h>

#include <celeryroute/detail/base/digest.h>

namespace celeryroute {

// The slot excludes route and body so that reuse of a key with another route or body is detected.
ClaimSlot claimSlot(const std::string &customer, const std::string &keyDigest)
{
    const std::string digest = sha256(std::vector<std::string>{customer, keyDigest});
    ClaimSlot slot;
    std::memcpy(slot.bytes.data(), digest.data(), ClaimSlot::Size);
    return slot;
}

} // namespace celeryroute
