#pragma once

#include <celeryroute/detail/agent/answermeter.h>
#include <celeryroute/detail/agent/chunklog.h>
#include <celeryroute/detail/http/httpmulticlient.h>
#include <celeryroute/time.h>

#include <peer.pb.h>

#include <memory>
#include <optional>
#include <string>

namespace celeryroute {

/// Phase of an attempt.
enum class AttemptPhase {
    Queued, ///< Nothing has been sent to the target.
    Running, ///< A call to the target is open.
    Suspended, ///< The call was interrupted; a probe of the target decides whether to resume it.
    Ended,
};

/// One attempt of a request at this target.
struct Attempt {
    static constexpr std::size_t MaxKeptBytes = 4U << 20U; ///< Of the answer, to send it again.

    std::shared_ptr<const proto::Envelope> envelope; ///< Holds the SubmitRequest.
    std::string connection; ///< Connection to the entry that receives the answer.
    AttemptPhase phase = AttemptPhase::Queued;
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint startedAt;
    TimePoint endedAt;
    bool pinned = false; ///< Whether the attempt keeps its item in the target's memory.
    bool waitsForLoad = false;
    bool cold = false;
    bool suspect = false; ///< Whether it runs alone because it may crash the target.
    Duration loadWait{};
    HttpMultiClient::CallId call = 0;
    TimePoint callBegan; ///< Begin of the last call to the target.
    unsigned resumes = 0; ///< Resumptions and silent probes since the last event.
    bool reachedTarget = false; ///< Whether the target may have received any byte of the call.
    bool headSent = false;
    std::optional<proto::ResponseHead> head;
    AnswerMeter meter;
    ChunkLog chunks{MaxKeptBytes};
    std::optional<proto::ResponseEnd> end;

    const proto::SubmitRequest &submit() const
    {
        return envelope->submit();
    }
    const std::string &id() const
    {
        return submit().attempt_id();
    }
};

} // namespace celeryroute
