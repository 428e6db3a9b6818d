#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace celeryroute {

enum class MetricType {
    Counter,
    Gauge,
    Histogram,
};

/// A label of one sample.
struct MetricLabel {
    std::string_view name;
    std::string_view value;
};

/// @brief Builds the text of all metrics in the Prometheus exposition format.
class ExpositionText
{
public:
    /// @brief Begins a metric family for the samples that follow. @p name must stay valid until the last of them.
    void beginFamily(std::string_view name, MetricType type, std::string_view help);
    void appendSample(std::initializer_list<MetricLabel> labels, std::uint64_t value);
    void appendSample(std::initializer_list<MetricLabel> labels, double value);
    /// @brief Appends a sample of the current histogram; @p suffix is `_bucket`, `_sum` or `_count`.
    void appendHistogramSample(std::string_view suffix, std::initializer_list<MetricLabel> labels, std::uint64_t value);
    void appendHistogramSample(std::string_view suffix, std::initializer_list<MetricLabel> labels, double value);
    const std::string &text() const
    {
        return m_text;
    }

private:
    void appendName(std::string_view suffix, std::initializer_list<MetricLabel> labels);

    std::string_view m_name;
    std::string m_text;
};

} // namespace celeryroute
