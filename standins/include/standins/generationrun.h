#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <standins/generation.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace celeryroute {

/// One request in work or waiting at the engine.
struct GenerationRun {
    std::string id;
    GenerationRequest request;
    std::shared_ptr<HttpResponder> responder;
    std::vector<std::string> events; ///< Of a streamed answer.
    std::size_t nextEvent = 0;
    unsigned priority = 0; ///< 0 is most urgent.
    bool cachedPrefix = false;
    bool crashes = false;
    bool cancelled = false;
    bool done = false; ///< Touched by the timer's thread only.
    TimePoint nextTime; ///< When the next event is due.
};

} // namespace celeryroute
