#pragma once

#include <celeryroute/detail/net/eventloop.h>

#include <memory>
#include <string>
#include <string_view>

namespace celeryroute {

/// Receives what happens on a TcpChannel, which must outlive each callback.
class ChannelUser
{
public:
    ChannelUser() = default;
    virtual ~ChannelUser() = default;
    ChannelUser(const ChannelUser &) = delete;
    ChannelUser &operator=(const ChannelUser &) = delete;

    virtual void channelConnected() {}
    /// @brief New bytes are at the end of the channel's input.
    virtual void channelReceived() = 0;
    /// @brief Nothing more comes. @p reset: the peer or the network broke the channel. See also
    /// TcpChannel::endedCleanly().
    virtual void channelClosed(bool reset) = 0;
    /// @brief All output was handed to the network.
    virtual void channelDrained() {}
};

/// A buffered non-blocking TCP connection.
class TcpChannel final : private FileHandler
{
public:
    enum class Phase { Connecting, Open };

    /// @param socket owned by the channel
    TcpChannel(EventLoop &loop, int socket, Phase phase, ChannelUser &user);
    ~TcpChannel() override;

    /// @brief Bytes received and not yet consumed.
    std::string &input()
    {
        return m_input;
    }

    const std::string &input() const
    {
        return m_input;
    }

    /// @brief Appends to the output; sent by flush().
    void write(std::string_view bytes);
    /// @brief The same for bytes that others hold too, without a copy.
    void write(std::shared_ptr<const std::string> bytes);
    void flush();

    bool connected() const
    {
        return m_phase == Phase::Open;
    }
    /// @brief Whether any byte was handed to the network.
    bool sentAny() const
    {
        return m_sent > 0;
    }
    std::size_t unsent() const
    {
        return m_output.size() - m_outputBegin + (m_shared == nullptr ? 0 : m_shared->size() - m_sharedBegin);
    }
    /// @brief Bytes of memory that its buffers take, without shared ones.
    std::size_t heldBytes() const
    {
        return m_input.capacity() + m_output.capacity();
    }
    /// @brief Gives back memory of the input that its content does not need.
    void releaseInput();
    /// @brief Bytes that the peer's system has not confirmed, with those of unsent(); one system call.
    std::size_t unconfirmed() const;
    /// @brief Whether no reset has followed the end that was reported as orderly; one system call.
    bool endedCleanly() const;
    /// @brief Whether the peer's system had confirmed all output when the channel ended, or has until now; one system
    /// call.
    bool outputConfirmed() const;
    /// @brief Counts the bytes sent from now on.
    void restartSentCount()
    {
        m_sent = 0;
    }

    /// @brief Output that the peer has not received when the channel is destroyed is not delivered later.
    void discardOnClose();
    /// @brief Stops or resumes reading.
    void setReading(bool reading);
    /// @brief Sends what is buffered and then ends the output.
    void finishOutput();
    /// @brief Whether the peer has closed or sent something that was not read yet; one system call.
    bool stirred() const;

    int socket() const
    {
        return m_socket;
    }

private:
    void fileReady(std::uint32_t events) override;
    void finishConnect();
    void receive();
    void updateEvents();
    bool sendSome();
    void takeIn();
    void fail(bool reset);

    EventLoop &m_loop;
    ChannelUser &m_user;
    int m_socket;
    Phase m_phase;
    bool m_reading = true;
    bool m_finishing = false;
    bool m_failed = false;
    bool m_ended = false;
    std::uint32_t m_events = 0;
    std::size_t m_sent = 0;
    std::size_t m_outputBegin = 0;
    std::size_t m_unsentAtEnd = 0;
    std::string m_input;
    std::string m_output;
    std::shared_ptr<const std::string> m_shared; ///< Sent after m_output.
    std::size_t m_sharedBegin = 0;
};

} // namespace celeryroute
