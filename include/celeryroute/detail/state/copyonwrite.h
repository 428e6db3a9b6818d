#pragma once

#include <memory>
#include <utility>

namespace celeryroute {

/// @brief A value whose copies share memory until one of them is edited.
///
/// A copy may be read on any thread while this one is edited, as long as whoever published the copy
/// keeps it until the next publication: then an edit always finds it shared.
template <typename T>
class CopyOnWrite
{
public:
    CopyOnWrite()
        : m_value(std::make_shared<T>())
    {}
    explicit CopyOnWrite(T value)
        : m_value(std::make_shared<T>(std::move(value)))
    {}

    const T &operator*() const
    {
        return *m_value;
    }
    const T *operator->() const
    {
        return m_value.get();
    }

    /// @brief The value for writing; cloned first when another copy shares it.
    T &edit()
    {
        if (m_value.use_count() != 1) {
            m_value = std::make_shared<T>(*m_value);
        }
        return *m_value;
    }

    bool operator==(const CopyOnWrite &other) const
    {
        return m_value == other.m_value || *m_value == *other.m_value;
    }

private:
    std::shared_ptr<T> m_value;
};

} // namespace celeryroute
