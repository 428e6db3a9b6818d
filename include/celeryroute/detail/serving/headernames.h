#pragma once

#include <string>

namespace celeryroute {

/// Names of the header fields that callers, entries and targets exchange. All are compared without
/// regard to case.
struct HeaderNames {
    std::string requestId = "X-Request-Id";
    std::string deadline = "X-Deadline-Ms"; ///< Milliseconds that the caller still waits.
    std::string model = "X-Model"; ///< `MODEL` or `MODEL/ADAPTER`
    std::string tokenCounts = "X-Tokens"; ///< Prompt tokens and most output tokens.
    std::string promptParts = "X-Prompt-Parts"; ///< `ID:TOKENS` pairs.
    std::string lengthHint = "X-Length-Hint";
    std::string customer = "X-Customer"; ///< Set by the entry.
    std::string instance = "X-Target"; ///< Target that may run the call; set by the entry.
    std::string answeringInstance = "X-Answering-Target";
    std::string priority = "X-Priority"; ///< Set by the entry.
    std::string weightsVersion = "X-Weights"; ///< Of an answer.
    std::string expectWeights = "X-Expect-Weights"; ///< Set by the entry.
    std::string signature = "X-Signature"; ///< Of a target's answer.
    std::string notRun = "X-Not-Run"; ///< The target did not run the call.
    std::string load = "X-Load"; ///< Running, waiting, slots.
    std::string lastEventId = "Last-Event-Id";
    std::string authorization = "Authorization";
    std::string keyScheme = "Bearer";
    /// Further fields that only entries may set; a caller's are dropped.
    std::string reserved; ///< Comma-separated.
    bool operator==(const HeaderNames &) const = default;
};

} // namespace celeryroute
