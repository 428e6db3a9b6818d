#pragma once

#include <celeryroute/detail/entry/answerrelay.h>
#include <celeryroute/detail/entry/callercall.h>
#include <celeryroute/detail/http/httpserver.h>

#include <memory>
#include <set>
#include <string>

namespace celeryroute {

/// One try of a call at one host.
struct EntryAttempt {
    std::string id;
    std::string host;
    TimePoint sent;
    TimePoint lastProgress;
    AnswerRelay relay;
    std::uint32_t status = 0; ///< 0 until the head has arrived.
    std::string contentType;
};

/// A call in work at the entry.
struct Flight {
    CallerCall call;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<EntryAttempt> attempt;
    std::set<std::string> triedHosts;
    std::string wholeBody; ///< Of an answer that is not streamed.
    bool headSent = false; ///< Whether the caller has received a part of the answer.
    std::uint32_t attempts = 0;
    std::string claimId; ///< Set once the call may be dispatched, when it may not be repeated.
    std::uint64_t claimOffset = 0;
    std::uint64_t reservation = 0; ///< Of tokens in the customer's budget; 0 for none.
    TimePoint parkedUntil; ///< While it waits for a loan of tokens.
};

} // namespace celeryroute
