#pragma once

#include <string>

namespace celeryroute {

/// Names of the header fields that callers, entries and targets exchange. Comparisons ignore case.
struct HeaderNames {
    std::string requestId = "X-Request-Id";
    std::string deadline = "X-Deadline-Ms"; ///< Remaining time until the caller's deadline, in milliseconds.
    std::string model = "X-Model"; ///< `MODEL` or `MODEL/ADAPTER`
    std::string tokenCounts = "X-Tokens"; ///< `PROMPT,OUTPUT`: prompt tokens and limit of output tokens.
    std::string promptParts = "X-Prompt-Parts"; ///< Comma-separated `ID:TOKENS` pairs.
    std::string lengthHint = "X-Length-Hint"; ///< Expected number of output tokens.
    std::string customer = "X-Customer"; ///< Set by the entry.
    std::string instance = "X-Target"; ///< Id of the target that may run the call; set by the entry.
    std::string answeringInstance = "X-Answering-Target";
    std::string priority = "X-Priority"; ///< Set by the entry.
    std::string weightsVersion = "X-Weights"; ///< Version of the weights that produced the answer.
    std::string expectWeights = "X-Expect-Weights"; ///< Only weights that may run the call; set by the entry.
    std::string signature = "X-Signature"; ///< Present in every answer that a target computed.
    std::string notRun = "X-Not-Run"; ///< Present if the target did not run the call.
    std::string leaving = "X-Leaving"; ///< Present in all answers of a target that is leaving.
    /// Requests a second that the target takes from all entries together, for as long as its answers name it.
    std::string limit = "X-Limit";
    std::string load = "X-Load"; ///< Running calls, waiting calls and slots of the target.
    std::string storeEra = "X-Store-Era"; ///< In answers of the store: rises when it comes back from a copy.
    std::string lastEventId = "Last-Event-Id";
    /// Id of the caller's request that brought the first event of a stream that it takes up.
    std::string resumes = "X-Resumes";
    std::string authorization = "Authorization";
    std::string keyScheme = "Bearer";
    /// Comma-separated further fields that only entries may set. They are removed from callers' requests.
    std::string reserved;
    bool operator==(const HeaderNames &) const = default;
};

} // namespace celeryroute
