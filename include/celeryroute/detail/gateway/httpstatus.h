#pragma once

namespace celeryroute {

/// Status codes that an entry answers with.
struct HttpStatus {
    static constexpr int Ok = 200;
    static constexpr int MultipleChoices = 300; ///< The first that is no success.
    static constexpr int Unauthorized = 401;
    static constexpr int NotFound = 404;
    static constexpr int RequestTimeout = 408;
    static constexpr int ContentTooLarge = 413;
    static constexpr int Misdirected = 421;
    static constexpr int TooManyRequests = 429;
    static constexpr int HeaderTooLarge = 431;
    static constexpr int InternalError = 500; ///< The first that blames the target.
    static constexpr int BadGateway = 502;
    static constexpr int ServiceUnavailable = 503;
    static constexpr int GatewayTimeout = 504;

    /// @brief Whether an answer with @p status says that the request has not run and never will.
    static constexpr bool promisesNotRun(int status)
    {
        return status == RequestTimeout || status == Misdirected || status == TooManyRequests
            || status == ServiceUnavailable;
    }
};

} // namespace celeryroute
