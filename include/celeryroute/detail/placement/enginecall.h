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

/// What is known of a call to a model engine before it is sent.
struct EngineCall {
    std::string pool;
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    std::vector<PromptPart> parts; ///< In order; the last belongs to the call or its session.
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::uint64_t lengthHint = 0; ///< Expected output tokens; 0 when it is not said.
    std::uint32_t priority = 0; ///< 0 is served first.
    Duration remaining{}; ///< Until the caller gives up.
    Duration targetLatency{}; ///< Wanted time to the first event; 0 when there is none.
    std::optional<std::uint64_t> weightsVersion; ///< The only version that may go on with it.
    std::vector<std::string> excluded; ///< Targets that must not get it.
    Duration waited{}; ///< In this entry.
    bool askedBefore = false; ///< The same call was decided on before.
    std::size_t callsWaiting = 0; ///< Others, as urgent or more, that wait in this entry for room for the model.
    bool operator==(const EngineCall &) const = default;

    /// @brief Output tokens to expect.
    std::uint64_t expectedOutput() const
    {
        return lengthHint > 0 && (maxOutputTokens == 0 || lengthHint < maxOutputTokens) ? lengthHint : maxOutputTokens;
    }
};

} // namespace celeryroute
