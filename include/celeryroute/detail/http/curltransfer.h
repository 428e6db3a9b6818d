#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/detail/http/httpmulticlient.h>

#include <cstddef>
#include <optional>
#include <string>

struct curl_slist;

namespace celeryroute {

/// @brief One call on a libcurl easy handle; collects what arrives until it is handed out.
class CurlTransfer
{
public:
    CurlTransfer(void *easy, HttpCall call, HttpCallObserver observer, TimePoint now);
    ~CurlTransfer();
    CurlTransfer(const CurlTransfer &) = delete;
    CurlTransfer &operator=(const CurlTransfer &) = delete;

    void *easy() const;
    /// @brief Bytes arrived since the last call.
    bool progressed();
    /// @brief When the call fails without a further byte.
    std::optional<TimePoint> idleDeadline() const;
    void restartIdleTimeout(TimePoint now);
    /// @brief Notes the end; @p result is the CURLcode.
    void finish(int result);
    void finishIdle();
    bool finished() const;
    /// @brief Runs the observer for all that was collected.
    void deliver();
    /// @brief Forgets the observer, also in the middle of deliver().
    void silence();
    /// @brief Called inside libcurl.
    std::size_t appendHeader(const std::string &line);
    std::size_t appendBody(const char *data, std::size_t size);
    bool beforeSending();

private:
    void configure();
    void deliverHead();
    Error describe(int result) const;

    bool m_silent = false;
    void *m_easy;
    HttpCall m_call;
    HttpCallObserver m_observer;
    curl_slist *m_headerList = nullptr;
    HttpFields m_headers;
    std::string m_body;
    bool m_headPending = false;
    bool m_headDelivered = false;
    bool m_progressed = false;
    TimePoint m_lastProgress;
    unsigned m_sendAttempts = 0;
    std::optional<HttpCallEnd> m_end;
};

} // namespace celeryroute
