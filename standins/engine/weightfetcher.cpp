#include <standins/weightfetcher.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <memory>
#include <utility>

namespace celeryroute {

namespace {

constexpr Duration FetchTimeout = std::chrono::minutes(10);
constexpr Duration PollInterval = std::chrono::seconds(1);

} // namespace

WeightFetcher::WeightFetcher(std::string storeUrl)
    : m_storeUrl(std::move(storeUrl))
    , m_orders([this] { m_client.wakeUp(); })
    , m_thread([this] { run(); })
{}

WeightFetcher::~WeightFetcher()
{
    m_stopping = true;
    m_client.wakeUp();
    m_thread.join();
}

void WeightFetcher::fetch(const std::string &item, bool isModel, std::uint64_t megabytes, Done done)
{
    if (m_storeUrl.empty()) {
        done(true);
        return;
    }
    HttpCall call;
    call.url = absl::StrCat(m_storeUrl,
                            "/v1/checkpoints/",
                            absl::StrReplaceAll(item, {{"/", "%2F"}}),
                            "?kind=",
                            isModel ? "model" : "adapter",
                            "&mb=",
                            megabytes);
    call.totalTimeout = FetchTimeout;
    m_orders.post(Order{std::move(call), std::move(done)});
}

void WeightFetcher::run()
{
    while (!m_stopping) {
        for (Order &order : m_orders.take()) {
            start(std::move(order));
        }
        m_client.poll(PollInterval);
    }
}

void WeightFetcher::start(Order order)
{
    auto status = std::make_shared<int>(0);
    HttpCallObserver observer;
    observer.onHead = [status](int code, const HttpFields & /*headers*/) { *status = code; };
    observer.onEnd = [status, done = std::move(order.done)](const HttpCallEnd &end) {
        done(!end.error && *status == 200);
    };
    m_client.start(order.call, std::move(observer));
}

} // namespace celeryroute
