#include "childprocess.h"

#include <absl/time/time.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr absl::Duration HangGuard = absl::Seconds(120);

std::array<int, 2> makePipe()
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no descriptors left for a pipe");
    }
    return ends;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    const std::array<int, 2> output = makePipe();
    const std::array<int, 2> errorOutput = makePipe();
    spawn(program, arguments, output[1], errorOutput[1]);
    close(output[1]);
    close(errorOutput[1]);
    absl::MutexLock lock(&m_mutex);
    m_output.fd = output[0];
    m_errorOutput.fd = errorOutput[0];
    m_outputThread = std::thread([this] { drain(m_output); });
    m_errorThread = std::thread([this] { drain(m_errorOutput); });
}

ChildProcess::~ChildProcess()
{
    if (!m_waited) {
        ::kill(m_pid, SIGKILL);
        wait();
    }
    m_outputThread.join();
    m_errorThread.join();
    close(m_output.fd);
    close(m_errorOutput.fd);
}

void ChildProcess::spawn(const std::string &program,
                         const std::vector<std::string> &arguments,
                         int output,
                         int errorOutput)
{
    const char *folder = std::getenv("CELERYROUTE_TEST_PROGRAMS"); // Programs of another build, in runs by hand.
    const std::string path = std::string(folder == nullptr ? CELERYROUTE_BIN_DIR : folder) + "/" + program;
    std::vector<std::string> words = {path};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string &word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, errorOutput, STDERR_FILENO);
    const int result = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error("cannot start " + path);
    }
}

void ChildProcess::drain(Stream &stream)
{
    int fd = -1;
    {
        absl::MutexLock lock(&m_mutex);
        fd = stream.fd;
    }
    std::array<char, 65536> buffer{};
    while (true) {
        const ssize_t count = read(fd, buffer.data(), buffer.size());
        absl::MutexLock lock(&m_mutex);
        if (count <= 0) {
            stream.ended = true;
            return;
        }
        stream.text.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

nlohmann::json ChildProcess::waitUntilReady()
{
    if (!waitForOutput("\n")) {
        return nullptr;
    }
    const std::string text = output();
    return nlohmann::json::parse(text.substr(0, text.find('\n')), nullptr, false);
}

bool ChildProcess::waitForOutput(const std::string &text)
{
    absl::MutexLock lock(&m_mutex);
    const auto arrived = [this, &text]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_output.ended || m_output.text.find(text) != std::string::npos;
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&arrived), HangGuard);
    return m_output.text.find(text) != std::string::npos;
}

void ChildProcess::signal(int number) const
{
    if (!m_waited) {
        ::kill(m_pid, number);
    }
}

int ChildProcess::wait()
{
    if (m_waited) {
        return m_exitCode;
    }
    int status = 0;
    while (waitpid(m_pid, &status, 0) < 0 && errno == EINTR) {}
    m_waited = true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return m_exitCode;
}

void ChildProcess::waitForEnd()
{
    absl::MutexLock lock(&m_mutex);
    const auto ended = [this]()
                           ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_output.ended && m_errorOutput.ended; };
    m_mutex.AwaitWithTimeout(absl::Condition(&ended), HangGuard);
}

std::string ChildProcess::output()
{
    absl::MutexLock lock(&m_mutex);
    return m_output.text;
}

std::string ChildProcess::errorOutput()
{
    absl::MutexLock lock(&m_mutex);
    return m_errorOutput.text;
}

} // namespace celeryroute
