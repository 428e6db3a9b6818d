#pragma once

#include <memory>
#include <utility>

namespace celeryroute {

/// @brief A value whose copies share memory until one of them is edited.
///
/// A copy may be read on any thread while the original is edited, provided that the publisher keeps a
/// reference to the published copy until the next publication: an edit then always finds the value shared.
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

    /// @brief Returns the value for writing; clones it first if another copy shares it.
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
