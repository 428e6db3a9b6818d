#include <celeryroute/detail/claims/claimslot.h>

#include <celeryroute/detail/base/digest.h>

namespace celeryroute {

// Route and body are no part of the slot: the same key with another of them must be recognized.
ClaimSlot claimSlot(const std::string &customer, const std::string &keyDigest)
{
    const std::string digest = sha256(std::vector<std::string>{customer, keyDigest});
    ClaimSlot slot;
    std::memcpy(slot.bytes.data(), digest.data(), ClaimSlot::Size);
    return slot;
}

} // namespace celeryroute
