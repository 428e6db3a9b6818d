#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <celeryroute/detail/residency/engineinventory.h>

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace celeryroute::test {

/// @brief Engine or plain service inside the test process, with fault injection.
///
/// An answer of the engine consists of the events `t0` to `t4` and a final event.
class FakeTarget
{
public:
    static constexpr int EventsPerAnswer = 5;

    FakeTarget();
    ~FakeTarget();

    std::string url() const;
    void kill();
    void restart();

    /// The next streamed answer is cut off, or stalls with its connection open, after this many events.
    void cutNextAfter(int events);
    /// The next streamed answer ends in order inside the event after this many events.
    void endNextInsideEventAfter(int events);
    void silenceNextAfter(int events);
    /// The event of the next streamed answer after this many events goes on until its connection is closed.
    void extendNextAfter(int events);
    /// The next answer of a service goes on until its connection is closed.
    void extendNextBody();
    /// @brief Bytes written of the part that goes on.
    std::size_t extendedBytes() const
    {
        return m_extendedBytes;
    }
    /// @brief Waits until the connection of that part was closed. Returns false if it wasn't.
    bool waitForExtendedEnd() const;
    /// Each streamed answer stalls with its connection open after one event.
    void silenceEachAfterOneEvent();
    /// The next order takes effect, but its connection is closed without a complete answer.
    void dropNextOrderAnswer();
    /// Delays the answers to calls until release().
    void hold();
    void release();
    /// Leaves probes unanswered until releaseProbes().
    void holdProbes();
    void releaseProbes();

    void addResident(const InventoryItem &item);
    std::vector<HttpRequest> received(const std::string &pathPrefix) const;
    void waitForRequests(const std::string &pathPrefix, std::size_t count) const;
    bool resident(const std::string &item) const;

private:
    using Responder = std::shared_ptr<HttpResponder>;
    struct HeldCall {
        HttpRequest request;
        Responder responder;
    };

    void start(std::uint16_t port);
    void handle(const HttpRequest &request, const Responder &responder);
    void answerCall(const HttpRequest &request, const Responder &responder);
    void extend(const Responder &responder);
    void answerOrder(const HttpRequest &request, const Responder &responder);
    std::string inventoryJson() const;
    std::size_t countReceived(const std::string &pathPrefix) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::vector<HttpRequest> m_received ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, InventoryItem> m_items ABSL_GUARDED_BY(m_mutex);
    std::vector<HeldCall> m_held ABSL_GUARDED_BY(m_mutex);
    std::vector<Responder> m_silent ABSL_GUARDED_BY(m_mutex);
    int m_cutAfter ABSL_GUARDED_BY(m_mutex) = -1;
    bool m_cutInOrder ABSL_GUARDED_BY(m_mutex) = false; ///< The cut answer ends as if it were complete.
    int m_silentAfter ABSL_GUARDED_BY(m_mutex) = -1;
    int m_extendedAfter ABSL_GUARDED_BY(m_mutex) = -1;
    bool m_extendedBody ABSL_GUARDED_BY(m_mutex) = false;
    bool m_silentAfterOne ABSL_GUARDED_BY(m_mutex) = false;
    bool m_holdingProbes ABSL_GUARDED_BY(m_mutex) = false;
    bool m_dropOrderAnswer ABSL_GUARDED_BY(m_mutex) = false;
    bool m_holding ABSL_GUARDED_BY(m_mutex) = false;
    std::uint16_t m_port = 0;
    std::thread m_writer; ///< Of the part that goes on.
    std::atomic<std::size_t> m_extendedBytes = 0;
    bool m_extendedClosed ABSL_GUARDED_BY(m_mutex) = false;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace celeryroute::test
