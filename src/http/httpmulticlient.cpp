#include <celeryroute/detail/http/httpmulticlient.h>

#include <celeryroute/detail/http/httptransfer.h>
#include <celeryroute/detail/net/loopmailbox.h>

#include <absl/container/flat_hash_map.h>

#include <sys/epoll.h>

namespace celeryroute {

namespace {

/// Below the idle timeout of common servers, so that a channel about to be closed is not reused.
constexpr Duration ChannelIdleLimit = std::chrono::seconds(15);

/// A file of the owner that only ends a wait.
class ForeignFile final : public FileHandler
{
public:
    explicit ForeignFile(EventLoop &loop)
        : m_loop(loop)
    {}

    void watch(int file)
    {
        if (file == m_file) {
            return;
        }
        if (m_file >= 0) {
            m_loop.unwatch(m_file);
        }
        m_file = file;
        if (m_file >= 0) {
            m_loop.watch(m_file, EPOLLIN, *this);
        }
    }

private:
    void fileReady(std::uint32_t) override {}

    EventLoop &m_loop;
    int m_file = -1;
};

} // namespace

class HttpMultiClient::Private
{
public:
    EventLoop loop;
    LoopMailbox mailbox{loop};
    ForeignFile extraFile{loop};
    TargetChannels channels{loop, {{}, {}, ChannelIdleLimit}};
    CallId lastId = 0;
    absl::flat_hash_map<CallId, std::shared_ptr<HttpTransfer>> transfers;

    void forget(CallId id);
};

// Destroyed after this turn: the transfer may be on the call stack.
void HttpMultiClient::Private::forget(CallId id)
{
    const auto found = transfers.extract(id);
    if (!found.empty()) {
        loop.defer([kept = found.mapped()] {});
    }
}

HttpMultiClient::HttpMultiClient()
    : m_private(std::make_unique<Private>())
{}

HttpMultiClient::~HttpMultiClient()
{
    for (const auto &[id, transfer] : m_private->transfers) {
        transfer->cancel();
    }
    m_private->loop.turn(Duration::zero()); // Ends what these calls deferred.
}

HttpMultiClient::CallId HttpMultiClient::start(const HttpCall &call, HttpCallObserver observer)
{
    const CallId id = ++m_private->lastId;
    m_private->loop.refreshNow();
    const auto transfer = std::make_shared<HttpTransfer>(m_private->loop,
                                                         m_private->channels,
                                                         call,
                                                         std::move(observer),
                                                         [this, id] { m_private->forget(id); });
    m_private->transfers.emplace(id, transfer);
    transfer->start();
    return id;
}

void HttpMultiClient::cancel(CallId id)
{
    const auto found = m_private->transfers.find(id);
    if (found != m_private->transfers.end()) {
        found->second->cancel();
        m_private->forget(id);
    }
}

std::size_t HttpMultiClient::running() const
{
    return m_private->transfers.size();
}

void HttpMultiClient::poll(Duration timeout, int extraFd)
{
    m_private->extraFile.watch(extraFd);
    m_private->loop.turn(timeout);
}

void HttpMultiClient::wakeUp()
{
    m_private->mailbox.post([] {});
}

} // namespace celeryroute
