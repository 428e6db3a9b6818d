#include "faketarget.h"

#include <celeryroute/detail/residency/itemname.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace celeryroute::test {

namespace {

constexpr absl::Duration HangGuard = absl::Seconds(30);

std::string eventText(int number)
{
    return absl::StrCat("data: {\"choices\":[{\"delta\":{\"content\":\"t", number, "\"}}]}\n\n");
}

std::string itemOf(const nlohmann::json &order)
{
    return itemName(order.at("model").get<std::string>(), order.value("adapter", std::string()));
}

} // namespace

FakeTarget::FakeTarget()
{
    start(0);
}

FakeTarget::~FakeTarget()
{
    kill();
}

void FakeTarget::start(std::uint16_t port)
{
    HttpServerSettings settings;
    settings.port = port;
    m_server = std::make_unique<HttpServer>(settings, [this](const HttpRequest &request, const Responder &responder) {
        handle(request, responder);
    });
    const bool started = handleErrors(
        [this]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_server->start());
            return true;
        },
        [](const Error &) { return false; });
    if (!started) {
        throw std::runtime_error("the fake target cannot listen");
    }
    m_port = m_server->port();
}

std::string FakeTarget::url() const
{
    return absl::StrCat("http://127.0.0.1:", m_port);
}

void FakeTarget::kill()
{
    // The destructor of an unanswered responder sends a status, so responders are destroyed after the connections.
    std::vector<HeldCall> held;
    std::vector<Responder> silent;
    {
        absl::MutexLock lock(&m_mutex);
        held.swap(m_held);
        silent.swap(m_silent);
        m_items.clear();
    }
    if (m_server) {
        m_server->stop();
        held.clear();
        silent.clear();
        m_server.reset();
    }
    if (m_writer.joinable()) {
        m_writer.join();
    }
}

void FakeTarget::restart()
{
    start(m_port);
}

void FakeTarget::cutNextAfter(int events)
{
    absl::MutexLock lock(&m_mutex);
    m_cutAfter = events;
}

void FakeTarget::endNextInsideEventAfter(int events)
{
    absl::MutexLock lock(&m_mutex);
    m_cutAfter = events;
    m_cutInOrder = true;
}

void FakeTarget::silenceNextAfter(int events)
{
    absl::MutexLock lock(&m_mutex);
    m_silentAfter = events;
}

void FakeTarget::extendNextAfter(int events)
{
    absl::MutexLock lock(&m_mutex);
    m_extendedAfter = events;
}

void FakeTarget::extendNextBody()
{
    absl::MutexLock lock(&m_mutex);
    m_extendedBody = true;
}

bool FakeTarget::waitForExtendedEnd() const
{
    absl::MutexLock lock(&m_mutex);
    return m_mutex.AwaitWithTimeout(absl::Condition(&m_extendedClosed), HangGuard);
}

void FakeTarget::silenceEachAfterOneEvent()
{
    absl::MutexLock lock(&m_mutex);
    m_silentAfterOne = true;
}

void FakeTarget::dropNextOrderAnswer()
{
    absl::MutexLock lock(&m_mutex);
    m_dropOrderAnswer = true;
}

void FakeTarget::hold()
{
    absl::MutexLock lock(&m_mutex);
    m_holding = true;
}

void FakeTarget::release()
{
    std::vector<HeldCall> held;
    {
        absl::MutexLock lock(&m_mutex);
        m_holding = false;
        held.swap(m_held);
    }
    for (const HeldCall &call : held) {
        answerCall(call.request, call.responder);
    }
}

void FakeTarget::holdProbes()
{
    absl::MutexLock lock(&m_mutex);
    m_holdingProbes = true;
}

void FakeTarget::releaseProbes()
{
    absl::MutexLock lock(&m_mutex);
    m_holdingProbes = false;
}

void FakeTarget::addResident(const InventoryItem &item)
{
    absl::MutexLock lock(&m_mutex);
    m_items[item.item] = item;
}

std::vector<HttpRequest> FakeTarget::received(const std::string &pathPrefix) const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<HttpRequest> found;
    for (const HttpRequest &request : m_received) {
        if (request.path.compare(0, pathPrefix.size(), pathPrefix) == 0) {
            found.push_back(request);
        }
    }
    return found;
}

std::size_t FakeTarget::countReceived(const std::string &pathPrefix) const
{
    std::size_t count = 0;
    for (const HttpRequest &request : m_received) {
        count += request.path.compare(0, pathPrefix.size(), pathPrefix) == 0 ? 1 : 0;
    }
    return count;
}

void FakeTarget::waitForRequests(const std::string &pathPrefix, std::size_t count) const
{
    absl::MutexLock lock(&m_mutex);
    const auto arrived = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return countReceived(pathPrefix) >= count; };
    m_mutex.AwaitWithTimeout(absl::Condition(&arrived), HangGuard);
}

bool FakeTarget::resident(const std::string &item) const
{
    absl::MutexLock lock(&m_mutex);
    return m_items.contains(item);
}

void FakeTarget::handle(const HttpRequest &request, const Responder &responder)
{
    {
        absl::MutexLock lock(&m_mutex);
        m_received.push_back(request);
        if (m_holdingProbes && (request.path == "/v1/load" || request.path == "/healthz")) {
            m_silent.push_back(responder);
            return;
        }
    }
    if (request.path == "/v1/inventory") {
        responder->respond({200, {}, inventoryJson()});
    } else if (request.path == "/v1/load") {
        responder->respond({200, {}, R"({"running":0,"queued":0,"tokens_per_second":12.5})"});
    } else if (request.path.find("/v1/orders/") == 0) {
        answerOrder(request, responder);
    } else if (request.path.find("/cancel") != std::string::npos || request.path == "/healthz") {
        responder->respond({200, {}, "{}"});
    } else {
        answerCall(request, responder);
    }
}

void FakeTarget::answerCall(const HttpRequest &request, const Responder &responder)
{
    int cutAfter = -1;
    int silentAfter = -1;
    int extendedAfter = -1;
    bool cutInOrder = false;
    bool silentAfterOne = false;
    bool extendedBody = false;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_holding) {
            m_held.push_back({request, responder});
            return;
        }
        std::swap(cutAfter, m_cutAfter);
        std::swap(silentAfter, m_silentAfter);
        std::swap(extendedAfter, m_extendedAfter);
        std::swap(extendedBody, m_extendedBody);
        std::swap(cutInOrder, m_cutInOrder);
        silentAfterOne = m_silentAfterOne;
    }
    if (extendedBody) {
        responder->begin(200, {{"content-type", "application/json"}});
        extend(responder);
        return;
    }
    if (request.path != "/v1/chat/completions") {
        responder->respond({200, {{"content-type", "application/json"}}, R"({"booked":true})"});
        return;
    }
    const auto resume = request.headers.find("x-resume-from");
    const int first = resume == request.headers.end() ? 0 : std::stoi(resume->second);
    responder->begin(200, {{"content-type", "text/event-stream"}});
    for (int number = first; number < EventsPerAnswer; ++number) {
        if (number == cutAfter) {
            // Sends part of an event before ending the answer.
            responder->write(eventText(number).substr(0, 10));
            responder->end(cutInOrder);
            return;
        }
        if (number == silentAfter || (silentAfterOne && number > first)) {
            absl::MutexLock lock(&m_mutex);
            m_silent.push_back(responder);
            return;
        }
        if (number == extendedAfter) {
            responder->write("data: ");
            extend(responder);
            return;
        }
        responder->write(eventText(number));
    }
    responder->write("data: [DONE]\n\n");
    responder->end(true);
}

void FakeTarget::extend(const Responder &responder)
{
    m_writer = std::thread([this, responder] {
        constexpr std::size_t PartBytes = std::size_t{64} * 1024;
        constexpr std::size_t MostBytes = std::size_t{256} * 1024 * 1024;
        while (m_extendedBytes < MostBytes && !responder->closed()) {
            if (responder->pendingBytes() < PartBytes) {
                responder->write(std::string(PartBytes, 'x'));
                m_extendedBytes += PartBytes;
            } else {
                std::this_thread::yield();
            }
        }
        {
            absl::MutexLock lock(&m_mutex);
            m_extendedClosed = responder->closed();
        }
        responder->end(true);
    });
}

void FakeTarget::answerOrder(const HttpRequest &request, const Responder &responder)
{
    const nlohmann::json order = nlohmann::json::parse(request.body);
    bool lose = false;
    {
        absl::MutexLock lock(&m_mutex);
        if (request.path == "/v1/orders/load") {
            m_items[itemOf(order)] = InventoryItem{itemOf(order),
                                                   order.at("memory_mb").get<std::uint32_t>(),
                                                   order.at("version").get<std::uint32_t>(),
                                                   order.at("fencing").get<std::uint64_t>(),
                                                   ItemPhase::Resident};
        } else {
            m_items.erase(itemOf(order));
        }
        std::swap(lose, m_dropOrderAnswer);
    }
    if (lose) {
        responder->begin(200, {});
        responder->end(false);
    } else {
        responder->respond({200, {}, "{}"});
    }
}

std::string FakeTarget::inventoryJson() const
{
    absl::MutexLock lock(&m_mutex);
    nlohmann::json json = {{"memory_mb", 1000}, {"used_mb", 0}, {"items", nlohmann::json::array()}};
    for (const auto &[name, item] : m_items) {
        nlohmann::json entry = {{"model", baseModel(name)},
                                {"memory_mb", item.memoryMb},
                                {"version", item.version},
                                {"fencing", item.fencing},
                                {"state", "resident"}};
        if (isAdapter(name)) {
            entry["adapter"] = adapterName(name);
        }
        json["items"].push_back(entry);
    }
    return json.dump();
}

} // namespace celeryroute::test
