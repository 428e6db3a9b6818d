#pragma once

#include <celeryroute/time.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace celeryroute {

/// A named value in one log line. Holds views of its texts, which must outlive it.
class DecisionField
{
public:
    using Value = std::variant<std::monostate, std::string_view, std::int64_t, std::uint64_t, double, bool>;

    DecisionField(std::string_view key, std::string_view text)
        : m_key(key)
        , m_value(text)
    {}
    DecisionField(std::string_view key, const char *text)
        : DecisionField(key, std::string_view(text))
    {}
    DecisionField(std::string_view key, std::same_as<bool> auto flag)
        : m_key(key)
        , m_value(flag)
    {}
    DecisionField(std::string_view key, std::signed_integral auto number)
        : m_key(key)
        , m_value(static_cast<std::int64_t>(number))
    {}
    template <std::unsigned_integral T>
    requires(!std::same_as<T, bool>) DecisionField(std::string_view key, T number)
        : m_key(key)
        , m_value(static_cast<std::uint64_t>(number))
    {}
    DecisionField(std::string_view key, std::floating_point auto number)
        : m_key(key)
        , m_value(static_cast<double>(number))
    {}
    /// @brief Written in milliseconds.
    DecisionField(std::string_view key, Duration duration)
        : DecisionField(key, toMilliseconds(duration))
    {}
    /// @brief The field is omitted from the line if @p value is empty.
    template <typename T>
    DecisionField(std::string_view key, const std::optional<T> &value)
        : DecisionField(value ? DecisionField(key, *value) : DecisionField(key))
    {}

    std::string_view key() const
    {
        return m_key;
    }
    const Value &value() const
    {
        return m_value;
    }

private:
    explicit DecisionField(std::string_view key)
        : m_key(key)
    {}

    std::string_view m_key; ///< Lower case with underscores, so that it needs no JSON escapes.
    Value m_value;
};

} // namespace celeryroute
