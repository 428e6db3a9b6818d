#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/detail/http/httpmulticlient.h>
#include <celeryroute/detail/http/httpurl.h>
#include <celeryroute/detail/http1/targetchannels.h>

#include <functional>
#include <memory>
#include <string>

namespace celeryroute {

/// @brief One call of a client over its channels.
class HttpTransfer final : public std::enable_shared_from_this<HttpTransfer>, private ExchangeUser
{
public:
    /// @param over called once, before the observer hears of the end
    HttpTransfer(EventLoop &loop,
                 TargetChannels &channels,
                 HttpCall call,
                 HttpCallObserver observer,
                 std::function<void()> over);
    ~HttpTransfer() override;

    void start();
    /// @brief Closes the channel of the call; the observer is not called any more.
    void cancel();

private:
    void exchangeHead(MessageHead head) override;
    void exchangeBody(std::string &body) override;
    void exchangeComplete() override;
    void exchangeFailed(ExchangeFailure failure) override;

    TargetRequest request() const;
    void send();
    bool mayBeSentAgain(ExchangeFailure failure) const;
    void awaitDeadline();
    void deadlineReached();
    void failLater(const std::string &reason);
    void fail(bool connected, const std::string &reason);
    void finish(const HttpCallEnd &end);

    EventLoop &m_loop;
    TargetChannels &m_channels;
    const HttpCall m_call;
    HttpCallObserver m_observer;
    std::function<void()> m_over;
    HttpUrl m_url;
    TargetConnection *m_connection = nullptr; ///< While the exchange lasts.
    std::size_t m_receivedBytes = 0; ///< Of the body.
    bool m_onKeptChannel = false;
    bool m_silent = false;
    TimePoint m_started;
    TimePoint m_progressed;
    EventLoop::TimerId m_timer = 0;
};

} // namespace celeryroute
