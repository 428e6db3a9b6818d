#pragma once

#include <celeryroute/detail/cli/explainline.h>

#include <cstddef>
#include <istream>
#include <string>
#include <tuple>
#include <vector>

namespace celeryroute {

/// One start of one process and its lines in the order in which it wrote them.
struct ExplainProcess {
    std::string host;
    std::string role;
    std::uint64_t incarnation = 0;
    std::vector<ExplainLine> lines;

    auto identity() const
    {
        return std::tie(host, role, incarnation);
    }
};

/// @brief The logs of several processes.
class ExplainLog
{
public:
    /// @brief Adds the lines of @p in, which may be of several processes.
    void read(std::istream &in);
    /// @brief All processes by host, role and incarnation, their lines by their own monotonic clock.
    std::vector<ExplainProcess> takeProcesses();
    std::size_t lineCount() const
    {
        return m_lines;
    }
    /// @brief Lines that are not of this format.
    std::size_t skippedCount() const
    {
        return m_skipped;
    }

private:
    bool add(const std::string &text);
    ExplainProcess &process(const nlohmann::ordered_json &line);

    std::vector<ExplainProcess> m_processes;
    std::size_t m_lastUsed = 0;
    std::size_t m_lines = 0;
    std::size_t m_skipped = 0;
};

} // namespace celeryroute
