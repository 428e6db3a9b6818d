#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace celeryroute {

struct KnownTarget;

/// @brief Spreads the bits of @p value; equal in all processes.
std::uint64_t mixBits(std::uint64_t value);

/// @brief Rank of @p target for @p key from 0 to 1, by rendezvous hashing; equal in all processes.
double unitRank(std::uint64_t key, const KnownTarget &target);

/// Set of targets in the order of their digests, the same in all entries.
class TargetRing
{
public:
    bool insert(KnownTarget *target);
    bool erase(KnownTarget *target);
    std::size_t size() const;
    bool empty() const;
    std::vector<KnownTarget *> all() const;

    /// @brief All targets if there are at most @p limit, else @p limit of them: half where @p key
    /// leads to, which is the same in all entries, and half where @p spread leads to.
    void sample(std::uint64_t key, std::uint64_t spread, std::size_t limit, std::vector<KnownTarget *> &out) const;

private:
    KnownTarget *near(std::uint64_t at) const;
    void walk(std::uint64_t key, std::size_t count, std::vector<KnownTarget *> &out) const;

    struct Place {
        std::uint64_t digest = 0;
        KnownTarget *target = nullptr;
        bool operator<(const Place &other) const;
    };

    std::vector<Place> m_places;
};

} // namespace celeryroute
