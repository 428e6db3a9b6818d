#pragma once

namespace celeryroute {

/// @brief An event descriptor that makes a poll on another thread return.
class WakeUp
{
public:
    WakeUp();
    ~WakeUp();
    WakeUp(const WakeUp &) = delete;
    WakeUp &operator=(const WakeUp &) = delete;

    int fd() const;
    void signal() const;
    void clear() const;

private:
    int m_fd;
};

} // namespace celeryroute
