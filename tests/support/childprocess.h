#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace celeryroute {

/// @brief A program of this build, run as a child; its destructor kills it.
///
/// What it prints is drained by threads, so that it never blocks on a full pipe.
class ChildProcess
{
public:
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const;
    /// @brief Waits for the ready line; null when the program ended without one.
    nlohmann::json waitUntilReady();
    /// @brief Sends a signal to this process alone.
    void signal(int number) const;
    /// @brief Waits for the end; the exit code, or minus the number of the signal that ended it.
    int wait();
    /// @brief Waits until all output of an ended program has been read.
    void waitForEnd();
    std::string output();
    std::string errorOutput();
    /// @brief Waits until standard output holds @p text; false when the program ended without it.
    bool waitForOutput(const std::string &text);

private:
    struct Stream {
        int fd = -1;
        std::string text;
        bool ended = false;
    };

    void spawn(const std::string &program, const std::vector<std::string> &arguments, int output, int errorOutput);
    void drain(Stream &stream);

    pid_t m_pid = -1;
    bool m_waited = false;
    int m_exitCode = 0;
    absl::Mutex m_mutex;
    Stream m_output ABSL_GUARDED_BY(m_mutex);
    Stream m_errorOutput ABSL_GUARDED_BY(m_mutex);
    std::thread m_outputThread;
    std::thread m_errorThread;
};

} // namespace celeryroute
