#include <celeryroute/detail/cli/fleetquery.h>

#include <celeryroute/detail/transport/peerlink.h>
#include <celeryroute/detail/transport/transportcontext.h>

#include <peer.pb.h>
#include <zmq.h>

namespace celeryroute {

namespace {

constexpr std::int64_t LongestPollMs = 100;

void waitForAnswer(const std::vector<std::unique_ptr<PeerLink>> &links, Duration limit)
{
    std::vector<zmq_pollitem_t> items;
    items.reserve(links.size());
    for (const auto &link : links) {
        items.push_back({link->socket(), 0, ZMQ_POLLIN, 0});
    }
    const std::int64_t waitMs = std::min(LongestPollMs, std::max<std::int64_t>(1, toMilliseconds(limit)));
    zmq_poll(items.data(), static_cast<int>(items.size()), static_cast<long>(waitMs));
}

} // namespace

std::vector<FleetAnswer>
askFleet(const std::vector<HostEntry> &hosts, const proto::Envelope &question, const CurveKeys &keys, Duration timeout)
{
    TransportContext context(keys);
    std::vector<FleetAnswer> answers;
    std::vector<std::unique_ptr<PeerLink>> links;
    const TimePoint giveUp = MonotonicClock::now() + timeout;
    for (const HostEntry &host : hosts) {
        answers.push_back({host, nullptr});
        links.push_back(std::make_unique<PeerLink>(context, host.address, MonotonicClock::now()));
        links.back()->send(question);
    }
    std::size_t missing = hosts.size();
    for (TimePoint now = MonotonicClock::now(); missing > 0 && now < giveUp; now = MonotonicClock::now()) {
        waitForAnswer(links, giveUp - now);
        for (std::size_t i = 0; i < links.size(); ++i) {
            if (answers[i].answer == nullptr) {
                answers[i].answer = links[i]->receive(now);
                missing -= answers[i].answer == nullptr ? 0 : 1;
            }
        }
    }
    return answers;
}

} // namespace celeryroute
