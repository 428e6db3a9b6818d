#pragma once

#include <celeryroute/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace celeryroute {

/// What bytes are held for.
enum class HeldKind {
    Incoming, ///< A request that is not complete.
    Accepted, ///< A complete request until it is answered, and its answer until the caller has taken it.
};
constexpr std::array<std::string_view, 2> labelValues(HeldKind)
{
    return {"incoming", "accepted"};
}

/// Why a connection has to release what it holds.
enum class MemoryPressure {
    Total, ///< All connections hold too much together.
    Group, ///< The connections of one customer or address hold too much together.
};

/// @brief Accounts for the bytes that callers' connections hold, and chooses the connection that has to release its
/// bytes when they are too many.
class MemoryAccount
{
public:
    class Holding;

    /// Holdings of at most this size are never chosen, so that an ordinary small request finds room at any time.
    static constexpr std::size_t SmallBytes = std::size_t{16} * 1024;

    /// A holding that has to be released.
    struct Excess {
        Holding *holding = nullptr;
        MemoryPressure pressure = MemoryPressure::Total;
    };

    /// @param bytes 0 for no limit
    void setLimit(std::size_t bytes)
    {
        m_limit = bytes;
    }
    std::size_t limit() const
    {
        return m_limit;
    }
    std::size_t held() const
    {
        return m_held[0] + m_held[1];
    }
    std::size_t held(HeldKind kind) const
    {
        return m_held[static_cast<std::size_t>(kind)];
    }
    /// @brief The holding to release next; none if the limits are kept.
    std::optional<Excess> excess(TimePoint now) const;

private:
    static std::optional<Excess>
    worst(const std::map<std::uint64_t, Holding *> &holdings, std::optional<std::uint64_t> group, TimePoint now);

    std::size_t m_limit = 0;
    std::array<std::size_t, 2> m_held{};
    std::uint64_t m_nextNumber = 0;
    std::map<std::uint64_t, Holding *> m_large; ///< Holdings above SmallBytes by number.
    std::map<std::uint64_t, std::size_t> m_groups; ///< Bytes of large holdings by group.
};

/// Releases the bytes of a connection.
class MemoryHolder
{
public:
    MemoryHolder() = default;
    virtual ~MemoryHolder() = default;
    MemoryHolder(const MemoryHolder &) = delete;
    MemoryHolder &operator=(const MemoryHolder &) = delete;

    virtual void releaseMemory(MemoryPressure pressure) = 0;
};

/// The bytes that one connection holds.
class MemoryAccount::Holding
{
public:
    Holding(MemoryAccount &account, MemoryHolder &holder, TimePoint now)
        : m_account(account)
        , m_holder(holder)
        , m_number(account.m_nextNumber++)
        , m_progressAt(now)
    {}
    ~Holding();
    Holding(const Holding &) = delete;
    Holding &operator=(const Holding &) = delete;

    void set(HeldKind kind, std::size_t bytes);
    /// @brief Counts the bytes for @p group, a digest of the customer or address.
    void setGroup(std::uint64_t group);
    void noteProgress(TimePoint now)
    {
        m_progressAt = now;
    }

    HeldKind kind() const
    {
        return m_kind;
    }
    std::size_t bytes() const
    {
        return m_bytes;
    }
    std::uint64_t group() const
    {
        return m_group;
    }
    TimePoint progressAt() const
    {
        return m_progressAt;
    }
    MemoryHolder &holder()
    {
        return m_holder;
    }

private:
    void addLarge();
    void removeLarge();

    MemoryAccount &m_account;
    MemoryHolder &m_holder;
    std::uint64_t m_number;
    HeldKind m_kind = HeldKind::Incoming;
    std::size_t m_bytes = 0;
    std::uint64_t m_group = 0;
    TimePoint m_progressAt;
};

} // namespace celeryroute
