#pragma once

#include <celeryroute/detail/base/mailbox.h>
#include <celeryroute/detail/http/httpmulticlient.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace celeryroute {

/// @brief Fetches checkpoints from the weight store on a thread of its own.
class WeightFetcher
{
public:
    using Done = std::function<void(bool loaded)>;

    explicit WeightFetcher(std::string storeUrl);
    ~WeightFetcher();
    WeightFetcher(const WeightFetcher &) = delete;
    WeightFetcher &operator=(const WeightFetcher &) = delete;

    /// @brief Runs @p done on the fetcher's thread; at once on this thread without a store.
    void fetch(const std::string &item, bool isModel, std::uint64_t megabytes, Done done);

private:
    struct Order {
        HttpCall call;
        Done done;
    };

    void run();
    void start(Order order);

    const std::string m_storeUrl;
    HttpMultiClient m_client;
    Mailbox<Order> m_orders;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace celeryroute
