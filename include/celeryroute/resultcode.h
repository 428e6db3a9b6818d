#pragma once

#include <string>
#include <vector>

namespace celeryroute {

/// Numbered results of every operation; docs/ERRORS.md lists them with examples.
enum class ResultCode : int {
    Ok = 0,

    // 1xx: settings of a program.
    SettingUnknown = 101,
    SettingMissing = 102,
    SettingInvalid = 103,
    SettingConflict = 104,
    PortUnavailable = 105,

    // 2xx: declarations (routes, pools, customers).
    DeclarationSyntax = 201,
    DeclarationUnknownField = 202,
    DeclarationMissingField = 203,
    DeclarationInvalidValue = 204,
    DeclarationDuplicate = 205,
    DeclarationUnknownName = 206,
    DeclarationFileUnreadable = 207,
    DeclarationConflict = 208,
    EvacuationInvalid = 209,

    // 3xx: callers' requests.
    RequestMalformed = 301,
    RequestTooLarge = 302,
    RequestTimeout = 303,
    KeyMissing = 304,
    KeyUnknown = 305,
    KeyWithdrawn = 306,
    RouteForbidden = 307,
    RouteUnknown = 308,
    ModelUnknown = 309,
    MethodNotAllowed = 310,
    RateExceeded = 311,
    RequestExceedsBurst = 312,
    DeadlineInvalid = 313,
    IdempotencyKeyMissing = 314,
    IdempotencyKeyReused = 315,
    IdempotencyKeyExpired = 316,
    TooManyConnections = 317,
    IdempotencyKeyInvalid = 318,

    // 4xx: agreed state and the platform's log.
    LogUnavailable = 401,
    LogAppendInDoubt = 402,
    LogTruncated = 403,
    RecordMalformed = 404,
    RecordNewerFormat = 405,
    RevisionConflict = 406,
    StateStale = 407,
    StateUnavailable = 408,

    // 5xx: capacity and targets.
    DeadlineUnreachable = 501,
    DeadlineExceeded = 502,
    QueueFull = 503,
    NoTarget = 504,
    TargetFailed = 505,
    TargetTimeout = 506,
    Stopping = 507,
    LoadFailed = 508,
    MemoryExhausted = 509,
    NotAuthorized = 510,
    RequestQuarantined = 511,
    ShareSuperseded = 512,
    RetryBudgetExhausted = 513,
    Cancelled = 514,
    StreamNotResumable = 515,
    CallerEvicted = 516,

    // 6xx: connections between processes and to the platform.
    PeerUnreachable = 601,
    PeerSilent = 602,
    MessageMalformed = 603,
    TransportFailed = 604,
    PlatformUnavailable = 605,

    // 7xx: calls that may not be repeated.
    ClaimLost = 701,
    ClaimUnrecorded = 702,
    OutcomeUnknown = 703,
    OutcomeTooLarge = 704,
    ClaimInProgress = 705,

    // 9xx: faults of celeryroute itself.
    Internal = 901,
};

/// What is known about whether a refused request had an effect.
enum class RunState {
    NotRun, ///< No target was given the request, and none will be.
    Ran, ///< A target ran the request.
    Unknown, ///< A target may have run the request.
};

/// One row of the table of result codes.
struct ResultCodeInfo {
    ResultCode code;
    std::string name;
    int httpStatus;
    std::string meaning;
    std::string example;
    bool operator==(const ResultCodeInfo &) const = default;
};

/// @brief All result codes in ascending order.
const std::vector<ResultCodeInfo> &resultCodeInfos();

/// @brief The row of @p code; that of ResultCode::Internal when @p code is not in the table.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// @brief The word for @p state in answers to callers: `not_run`, `ran` or `unknown`.
std::string toString(RunState state);

} // namespace celeryroute
