#include <celeryroute/detail/node/eramonitor.h>

#include <charconv>
#include <optional>

namespace celeryroute {

namespace {

std::optional<std::uint64_t> readEra(const std::string *text)
{
    if (text == nullptr) {
        return std::nullopt;
    }
    std::uint64_t era = 0;
    const char *end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, era);
    return error == std::errc() && rest == end ? std::optional(era) : std::nullopt;
}

} // namespace

EraMonitor::EraMonitor(std::string field,
                       DecisionLog &log,
                       ServingMetrics &metrics,
                       std::function<void(TimePoint now)> restored,
                       std::function<void()> first)
    : m_field(std::move(field))
    , m_log(log)
    , m_metrics(metrics)
    , m_restored(std::move(restored))
    , m_first(std::move(first))
{}

bool EraMonitor::accept(const MessageHead &head, TimePoint now)
{
    const std::uint64_t before = m_era.value();
    const StoreEra::Change change = m_era.note(readEra(head.field(m_field)));
    if (change == StoreEra::Change::Newer) {
        m_metrics.countStoreRestore();
        m_log.write(DecisionEvent::StoreRestored, now, {{"era", m_era.value()}, {"era_before", before}});
        m_restored(now);
    }
    if (change == StoreEra::Change::First && m_first) {
        m_first();
    }
    return change != StoreEra::Change::Older;
}

} // namespace celeryroute
