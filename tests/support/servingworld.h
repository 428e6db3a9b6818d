#pragma once

#include <celeryroute/detail/gateway/gateway.h>
#include <celeryroute/detail/net/endpoint.h>
#include <celeryroute/detail/net/eventloop.h>

#include "servingtarget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Turns @p loop until @p condition holds; false when it never does.
bool turnUntil(EventLoop &loop, const std::function<bool()> &condition);

/// @brief Turns @p loop often enough for everything that is under way on loopback to arrive.
void settle(EventLoop &loop);

/// A caller that writes bytes and reads what comes.
class RawCaller
{
public:
    /// @param receiveBuffer bytes that the system takes in for it; 0 for the usual
    RawCaller(EventLoop &loop, const Endpoint &endpoint, int receiveBuffer = 0);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes);
    void close();
    /// @brief Takes in more at once from now on.
    void readFaster();
    /// @brief All bytes that came so far.
    const std::string &received();
    /// @brief Whether the other side has ended the connection.
    bool ended();
    bool wasReset();
    /// @brief Turns until @p text came.
    bool waitFor(const std::string &text);
    bool waitForEnd();

private:
    void drain();

    EventLoop &m_loop;
    int m_socket;
    bool m_ended = false;
    bool m_reset = false;
    std::string m_received;
};

/// Allows what its test says, and counts.
class TestAdmission final : public AdmissionControl
{
public:
    mutable int freshChecks = 1'000'000; ///< Times that keys are still found fresh.
    std::optional<Duration> refusal;
    int furtherSends = 1'000; ///< That are still allowed.
    int firstSends = 0;
    double spent = 0;
    double refunded = 0;

    bool keysFresh(TimePoint now) const override;
    Spending spend(const std::string &customer, double cost, TimePoint now) override;
    AdmissionInputs inputs(const std::string &customer, TimePoint now) const override;
    void refund(const std::string &customer, double cost, std::uint64_t step, TimePoint now) override;
    void noteFirstSend(const std::string &pool, TimePoint now) override;
    bool takeFurtherSend(const std::string &pool, TimePoint now) override;
    double furtherSendsLeft(const std::string &pool, TimePoint now) const override;
};

/// What a target does behind its answer.
enum class Then {
    Keep,
    Close,
    Reset,
};

/// @brief A target's whole answer; `{id}` stands for the request's id.
std::string signedAnswer(int status, const std::string &body, const std::string &fields = {});

/// A gateway with routes of each kind, one customer and targets of a plain service.
///
/// Paths: `/idempotent/`, `/once/`, `/stream/`, `/resumable/` and, without a key, `/open/`.
class GatewayWorld
{
public:
    using Script = ServingTarget::Script;

    /// @param targetCount targets of the service at the start; one more may be added later
    explicit GatewayWorld(std::size_t targetCount);

    EventLoop loop;
    HeaderNames names;
    ServingState state;
    TestAdmission admission;
    TargetTable book{"entry", "here"};
    DecisionLog log{{"entry", "entry", 1}, -1};
    ServingMetrics metrics;
    Gateway gateway;
    Endpoint endpoint = freeEndpoint();
    std::vector<std::unique_ptr<ServingTarget>> targets;
    std::vector<Script> scripts; ///< Of the requests in the order of their arrival; the last one repeats.

    /// @brief Puts `state` in force under the next version.
    void apply();
    ServingRoute &route(const std::string &name);
    ServingTarget &addTarget();
    /// @brief The target with that address of a record alone; nothing listens there.
    void addDeadTarget();
    /// @brief Tells the entry that target @p number has @p running calls and 8 slots.
    void load(std::size_t number, std::uint32_t running);

    /// @brief Requests that arrived, at all targets, in order.
    std::vector<ServingTarget::Request> arrived;
    /// @brief The target at which request @p number arrived.
    ServingTarget &targetOf(std::size_t number);
    void answer(std::size_t number, const std::string &bytes);
    /// @brief A script that sends @p bytes.
    Script replies(const std::string &bytes, Then then = Then::Keep);
    bool waitForArrivals(std::size_t count);

    /// @brief A request by the customer for @p path whose connection ends with its answer.
    static std::string request(const std::string &path, const std::string &fields = {}, const std::string &body = {});
    /// @brief All that comes back for a request().
    std::string call(const std::string &path, const std::string &fields = {}, const std::string &body = {});
    std::string callRaw(const std::string &bytes);

private:
    std::vector<ServingTarget *> m_arrivedAt;
};

/// @brief Status of the answer @p text; 0 when it is none.
int statusOf(const std::string &text);

/// @brief Value of the first field called @p name in the head of @p text, or `(none)`.
std::string fieldOf(const std::string &text, const std::string &name);

/// @brief The chunks of @p text's body together; with `<end>` when it is complete.
std::string chunksOf(const std::string &text);

/// @brief What @p text holds between the empty line after the head and the end.
std::string bodyOf(const std::string &text);

/// @brief How often @p part is in @p text.
std::size_t countOf(const std::string &text, const std::string &part);

} // namespace celeryroute
