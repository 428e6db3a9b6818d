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

/// Where an attempt stands.
enum class AttemptPhase {
    Queued, ///< Nothing was sent to the target.
    Running, ///< A call to the target is open.
    Suspended, ///< The call was cut; a probe of the target decides how it goes on.
    Ended,
};

/// One attempt of a request at this target.
struct Attempt {
    static constexpr std::size_t MaxUnacknowledgedBytes = 4U << 20U;

    std::shared_ptr<const proto::Envelope> envelope; ///< Holds the SubmitRequest.
    std::string connection; ///< Of the entry that gets the answer.
    AttemptPhase phase = AttemptPhase::Queued;
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint startedAt;
    TimePoint endedAt;
    bool pinned = false; ///< Holds its item in memory.
    bool waitsForLoad = false;
    bool cold = false;
    bool suspect = false; ///< Runs alone, because it may crash the target.
    Duration loadWait{};
    HttpMultiClient::CallId call = 0;
    unsigned resumes = 0;
    bool reachedTarget = false; ///< A byte may have been sent.
    bool headSent = false;
    std::optional<proto::ResponseHead> head;
    AnswerMeter meter;
    ChunkLog chunks{MaxUnacknowledgedBytes};
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
