#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace celeryroute {

struct KnownTarget;

/// @brief Hashes @p value with the finalizer of SplitMix64; the result is the same in all processes.
std::uint64_t mixBits(std::uint64_t value);

/// @brief Rendezvous hashing score of @p target for @p key, from 0 to 1; the same in all processes.
double rendezvousScore(std::uint64_t key, const KnownTarget &target);

/// Hash ring: a set of targets ordered by their digests, the same in all entries.
class TargetRing
{
public:
    /// @brief Adds @p target.
    /// @return False if it already is in the ring.
    bool insert(KnownTarget *target);
    /// @brief Removes @p target.
    /// @return False if it is not in the ring.
    bool erase(KnownTarget *target);
    std::size_t size() const;
    bool empty() const;
    std::vector<KnownTarget *> all() const;

    /// @brief Writes all targets to @p out if there are at most @p limit, else at most @p limit of them: one half is
    /// chosen by @p key, the same in all entries, the other half by @p spread.
    void sample(std::uint64_t key, std::uint64_t spread, std::size_t limit, std::vector<KnownTarget *> &out) const;

private:
    KnownTarget *pickNear(std::uint64_t at) const;
    void walk(std::uint64_t key, std::size_t count, std::vector<KnownTarget *> &out) const;

    struct Position {
        std::uint64_t digest = 0;
        KnownTarget *target = nullptr;
        bool operator<(const Position &other) const;
    };

    std::vector<Position> m_positions;
};

} // namespace celeryroute
