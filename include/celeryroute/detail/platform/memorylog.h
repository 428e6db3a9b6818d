#pragma once

#include <celeryroute/detail/platform/logoutcome.h>

#include <cstdint>
#include <memory>
#include <string>

namespace celeryroute {

/// @brief A log inside the process, for tests; copies are the same log. Any thread may use it.
class MemoryLog
{
public:
    MemoryLog();

    AppendOutcome append(const std::string &record);
    /// @brief Answers at once; `waitMs` is not waited for.
    ReadOutcome read(const LogRead &read) const;

    /// @brief Refuses every connection.
    void setDown(bool down);
    /// @brief Loses the answers of the next @p count appends after they took effect.
    void loseAnswers(int count);
    /// @brief Loses the next @p count appends before they take effect, without an answer.
    void loseAppends(int count);
    /// @brief Keeps the next @p count appends on their way, without an answer, until deliverHeld().
    void holdAppends(int count);
    void deliverHeld();
    /// @brief Forgets all records before @p first.
    void forgetBefore(std::uint64_t first);
    std::uint64_t next() const;

private:
    struct Storage;
    std::shared_ptr<Storage> m_storage;
};

} // namespace celeryroute
