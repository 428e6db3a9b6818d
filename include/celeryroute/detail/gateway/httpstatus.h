#pragma once

namespace celeryroute {

/// HTTP status codes that an entry sends or evaluates.
struct HttpStatus {
    static constexpr int Ok = 200;
    static constexpr int MultipleChoices = 300; ///< First code after the success class.
    static constexpr int Unauthorized = 401;
    static constexpr int NotFound = 404;
    static constexpr int RequestTimeout = 408;
    static constexpr int ContentTooLarge = 413;
    static constexpr int Misdirected = 421;
    static constexpr int TooManyRequests = 429;
    static constexpr int HeaderTooLarge = 431;
    static constexpr int InternalError = 500; ///< First code of the server error class.
    static constexpr int BadGateway = 502;
    static constexpr int ServiceUnavailable = 503;
    static constexpr int GatewayTimeout = 504;

    /// @brief Whether @p status guarantees to the caller that the request did not and will not run.
    static constexpr bool impliesNotRun(int status)
    {
        return status == RequestTimeout || status == Misdirected || status == TooManyRequests
            || status == ServiceUnavailable;
    }
};

} // namespace celeryroute
