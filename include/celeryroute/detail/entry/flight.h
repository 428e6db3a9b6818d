#pragma once

#include <celeryroute/detail/entry/answerrelay.h>
#include <celeryroute/detail/entry/callercall.h>
#include <celeryroute/detail/http/httpserver.h>

#include <memory>
#include <set>
#include <string>

namespace celeryroute {

/// An attempt of a call at one host.
struct EntryAttempt {
    std::string id;
    std::string host;
    TimePoint sent;
    TimePoint lastProgress;
    AnswerRelay relay;
    std::uint32_t status = 0; ///< HTTP status; 0 until the head is received.
    std::string contentType;
};

/// A call in progress at the entry.
struct Flight {
    CallerCall call;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<EntryAttempt> attempt;
    std::set<std::string> triedHosts;
    std::string wholeBody; ///< Body of an answer that is not streamed.
    bool headSent = false; ///< Whether the caller has received a part of the answer.
    std::uint32_t attempts = 0;
    std::string claimId; ///< Set for a non-repeatable call once it may be dispatched.
    std::uint64_t claimOffset = 0;
    std::uint64_t reservation = 0; ///< Id of the token reservation in the customer's budget; 0 for none.
    TimePoint tokenWaitEnd; ///< End of the wait for tokens; unset if the call has not waited.
};

} // namespace celeryroute
