#include <celeryroute/detail/telemetry/expositiontext.h>

#include <charconv>
#include <cmath>

namespace celeryroute {

namespace {

constexpr std::size_t MaxNumberLength = 32;

std::string_view typeName(MetricType type)
{
    switch (type) {
    case MetricType::Counter:
        return "counter";
    case MetricType::Gauge:
        return "gauge";
    case MetricType::Histogram:
        break;
    }
    return "histogram";
}

template <typename T>
void appendDigits(std::string &text, T value)
{
    char digits[MaxNumberLength];
    const std::to_chars_result result = std::to_chars(digits, digits + sizeof(digits), value);
    text.append(digits, result.ptr);
}

void appendValue(std::string &text, double value)
{
    if (std::isnan(value)) {
        text += "NaN";
    } else if (std::isinf(value)) {
        text += value > 0 ? "+Inf" : "-Inf";
    } else {
        appendDigits(text, value);
    }
}

void appendLabelValue(std::string &text, std::string_view value)
{
    for (const char byte : value) {
        if (byte == '\n') {
            text += "\\n";
            continue;
        }
        if (byte == '"' || byte == '\\') {
            text += '\\';
        }
        text += byte;
    }
}

} // namespace

void ExpositionText::beginFamily(std::string_view name, MetricType type, std::string_view help)
{
    m_name = name;
    m_text += "# HELP ";
    m_text += name;
    m_text += ' ';
    m_text += help;
    m_text += "\n# TYPE ";
    m_text += name;
    m_text += ' ';
    m_text += typeName(type);
    m_text += '\n';
}

void ExpositionText::appendSample(std::initializer_list<MetricLabel> labels, std::uint64_t value)
{
    appendHistogramSample({}, labels, value);
}

void ExpositionText::appendSample(std::initializer_list<MetricLabel> labels, double value)
{
    appendHistogramSample({}, labels, value);
}

void ExpositionText::appendHistogramSample(std::string_view suffix,
                                           std::initializer_list<MetricLabel> labels,
                                           std::uint64_t value)
{
    appendName(suffix, labels);
    appendDigits(m_text, value);
    m_text += '\n';
}

void ExpositionText::appendHistogramSample(std::string_view suffix,
                                           std::initializer_list<MetricLabel> labels,
                                           double value)
{
    appendName(suffix, labels);
    appendValue(m_text, value);
    m_text += '\n';
}

void ExpositionText::appendName(std::string_view suffix, std::initializer_list<MetricLabel> labels)
{
    m_text += m_name;
    m_text += suffix;
    char separator = '{';
    for (const MetricLabel &label : labels) {
        m_text += separator;
        m_text += label.name;
        m_text += "=\"";
        appendLabelValue(m_text, label.value);
        m_text += '"';
        separator = ',';
    }
    m_text += labels.size() == 0 ? " " : "} ";
}

} // namespace celeryroute
