#pragma once

#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// A part of a prompt that other calls may share.
struct PromptPart {
    std::string id;
    std::uint64_t tokens = 0;
    bool operator==(const PromptPart &) const = default;
};

/// A call to a model engine, as far as it is known before the call is sent.
struct EngineCall {
    std::string pool;
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    std::vector<PromptPart> parts; ///< In prompt order; only this call or its session has the last one.
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::uint64_t lengthHint = 0; ///< Expected output tokens; 0 when the caller gave none.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    Duration remaining{}; ///< Time until the caller gives up.
    Duration targetLatency{}; ///< Time in which the caller wants the first event; 0 when it gave none.
    std::optional<std::uint64_t> weightsVersion; ///< The call continues on this version of the weights only.
    /// The call continues at targets with this version of their software only.
    std::optional<std::string> softwareVersion;
    std::vector<std::string> excluded; ///< Targets that must not get the call.
    Duration waited{}; ///< Time that the call has waited in this entry.
    bool decidedBefore = false; ///< The call waited and is now decided on again.
    std::size_t callsWaiting = 0; ///< Other calls in this entry, at least as urgent, that wait for room for the model.
    bool operator==(const EngineCall &) const = default;

    /// @brief Expected output tokens: the hint, limited by the maximum, or else the maximum.
    std::uint64_t expectedOutput() const
    {
        return lengthHint > 0 && (maxOutputTokens == 0 || lengthHint < maxOutputTokens) ? lengthHint : maxOutputTokens;
    }
};

} // namespace celeryroute
