#pragma once

#include <celeryroute/detail/routing/prefixsketch.h>
#include <celeryroute/detail/routing/targetinfo.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// Where a model is for one target, and the expected time to load it from there.
struct ModelPlacement {
    ModelPlace place = ModelPlace::Remote;
    Duration expectedLoad{}; ///< Zero if unknown.
    bool operator==(const ModelPlacement &) const = default;
};

/// Load and model state of one target as seen by one entry.
class TargetState
{
public:
    explicit TargetState(TargetInfo info);

    void setInfo(TargetInfo info);
    void setReport(const LoadReport &report);
    void setPlacement(const std::string &model, ModelPlacement placement);
    void noteSent(const std::string &attemptId, std::uint64_t tokens, TimePoint now);
    void noteEnded(const std::string &attemptId);

    /// @brief Whether @p model is resident or being loaded there. Always true for the empty name.
    bool isWarm(const std::string &model) const;

    /// @brief Expected time until a request for @p model would start.
    Duration expectedStart(const std::string &model) const;

    const TargetInfo &info() const
    {
        return m_info;
    }
    PrefixSketch &prefixes()
    {
        return m_prefixes;
    }
    const PrefixSketch &prefixes() const
    {
        return m_prefixes;
    }
    double tokensPerSecond() const;

private:
    struct Sent {
        TimePoint time;
        std::uint64_t tokens;
    };

    Duration loadWait(const std::string &model) const;

    TargetInfo m_info;
    LoadReport m_report;
    std::map<std::string, ModelPlacement> m_placements;
    /// Attempts sent by this entry after the last report, by attempt id.
    absl::flat_hash_map<std::string, Sent> m_unreported;
    std::uint64_t m_unreportedTokens = 0;
    PrefixSketch m_prefixes;
};

} // namespace celeryroute
