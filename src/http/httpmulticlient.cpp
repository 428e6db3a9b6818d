#include <celeryroute/detail/http/httpmulticlient.h>

#include <celeryroute/detail/http/curltransfer.h>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <curl/curl.h>
#include <mutex>
#include <vector>

namespace celeryroute {

namespace {

/// Idle handles and connections kept for reuse.
constexpr std::size_t MaxIdleHandles = 256;
constexpr long MaxIdleConnections = 256;

void initializeLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

class HttpMultiClient::Private
{
public:
    CURLM *multi = nullptr;
    CallId lastId = 0;
    absl::flat_hash_map<CallId, std::shared_ptr<CurlTransfer>> transfers;
    std::vector<CURL *> idleHandles;

    CURL *takeHandle();
    void release(const std::shared_ptr<CurlTransfer> &transfer);
    Duration waitLimit(Duration timeout, TimePoint now) const;
    void noteEnds();
    std::vector<CallId> collectDue(TimePoint now);
    void deliver(CallId id);
};

CURL *HttpMultiClient::Private::takeHandle()
{
    if (idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *handle = idleHandles.back();
    idleHandles.pop_back();
    return handle;
}

void HttpMultiClient::Private::release(const std::shared_ptr<CurlTransfer> &transfer)
{
    curl_multi_remove_handle(multi, transfer->easy());
    if (idleHandles.size() < MaxIdleHandles) {
        idleHandles.push_back(transfer->easy());
    } else {
        curl_easy_cleanup(transfer->easy());
    }
}

Duration HttpMultiClient::Private::waitLimit(Duration timeout, TimePoint now) const
{
    Duration limit = timeout;
    for (const auto &[id, transfer] : transfers) {
        const std::optional<TimePoint> deadline = transfer->idleDeadline();
        if (deadline) {
            limit = std::min(limit, *deadline - now);
        }
    }
    return std::max(limit, Duration::zero());
}

void HttpMultiClient::Private::noteEnds()
{
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &remaining)) {
        char *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        if (message->msg == CURLMSG_DONE) {
            reinterpret_cast<CurlTransfer *>(transfer)->finish(message->data.result);
        }
    }
}

std::vector<HttpMultiClient::CallId> HttpMultiClient::Private::collectDue(TimePoint now)
{
    std::vector<CallId> due;
    for (const auto &[id, transfer] : transfers) {
        const bool progressed = transfer->progressed();
        if (progressed) {
            transfer->restartIdleTimeout(now);
        }
        const std::optional<TimePoint> deadline = transfer->idleDeadline();
        if (!transfer->finished() && deadline && *deadline <= now) {
            transfer->finishIdle();
        }
        if (progressed || transfer->finished()) {
            due.push_back(id);
        }
    }
    std::sort(due.begin(), due.end());
    return due;
}

void HttpMultiClient::Private::deliver(CallId id)
{
    const auto found = transfers.find(id);
    if (found == transfers.end()) {
        return;
    }
    const std::shared_ptr<CurlTransfer> transfer = found->second;
    transfer->deliver();
    // An observer may have cancelled the call, which released its handle.
    if (transfer->finished() && transfers.erase(id) > 0) {
        release(transfer);
    }
}

HttpMultiClient::HttpMultiClient()
    : m_private(std::make_unique<Private>())
{
    initializeLibrary();
    m_private->multi = curl_multi_init();
    curl_multi_setopt(m_private->multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
}

HttpMultiClient::~HttpMultiClient()
{
    for (const auto &[id, transfer] : m_private->transfers) {
        m_private->release(transfer);
    }
    for (CURL *handle : m_private->idleHandles) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(m_private->multi);
}

HttpMultiClient::CallId HttpMultiClient::start(const HttpCall &call, HttpCallObserver observer)
{
    const CallId id = ++m_private->lastId;
    CURL *handle = m_private->takeHandle();
    auto transfer = std::make_shared<CurlTransfer>(handle, call, std::move(observer), MonotonicClock::now());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, transfer.get());
    curl_multi_add_handle(m_private->multi, handle);
    m_private->transfers.emplace(id, std::move(transfer));
    return id;
}

void HttpMultiClient::cancel(CallId id)
{
    const auto found = m_private->transfers.find(id);
    if (found == m_private->transfers.end()) {
        return;
    }
    const std::shared_ptr<CurlTransfer> transfer = found->second;
    m_private->transfers.erase(found);
    transfer->silence();
    m_private->release(transfer);
}

std::size_t HttpMultiClient::running() const
{
    return m_private->transfers.size();
}

void HttpMultiClient::poll(Duration timeout, int extraFd)
{
    curl_waitfd extra{extraFd, CURL_WAIT_POLLIN, 0};
    const Duration limit = m_private->waitLimit(timeout, MonotonicClock::now());
    const auto waitMs = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
    curl_multi_poll(m_private->multi,
                    &extra,
                    extraFd >= 0 ? 1 : 0,
                    static_cast<int>(std::min<std::int64_t>(waitMs, 60'000)),
                    nullptr);
    int running = 0;
    curl_multi_perform(m_private->multi, &running);
    m_private->noteEnds();
    for (const CallId id : m_private->collectDue(MonotonicClock::now())) {
        m_private->deliver(id);
    }
}

void HttpMultiClient::wakeUp()
{
    curl_multi_wakeup(m_private->multi);
}

} // namespace celeryroute
