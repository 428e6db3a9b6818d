#pragma once

#include <cstdint>

namespace celeryroute {

/// Receives the readiness of one file descriptor from an EventLoop.
class FileHandler
{
public:
    FileHandler() = default;
    virtual ~FileHandler() = default;
    FileHandler(const FileHandler &) = delete;
    FileHandler &operator=(const FileHandler &) = delete;

    /// @param events EPOLLIN and its kin
    virtual void fileReady(std::uint32_t events) = 0;
};

} // namespace celeryroute
