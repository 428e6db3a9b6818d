#pragma once

#include <celeryroute/detail/http1/messagehead.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace celeryroute {

enum class MessageKind {
    Request,
    Answer,
};

enum class ParseState {
    Head, ///< The head is not complete.
    Body, ///< The head is complete, the message is not.
    Complete,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Bounds on a message.
struct MessageLimits {
    std::uint32_t headBytes = 64 * 1024;
    std::uint64_t bodyBytes = UINT64_MAX;
};

/// Reads one HTTP/1.1 message from bytes as they arrive. Chunked bodies come out without chunks.
///
/// Refuses what two readers could understand differently: two lengths, a length beside chunks,
/// transfer codings other than chunks, line ends without a carriage return.
class MessageParser
{
public:
    MessageParser(MessageKind kind, const MessageLimits &limits);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// @brief An answer to a request that asks for the head only.
    void expectNoBody(bool noBody);

    /// @brief Reads from @p bytes; returns how many were consumed.
    std::size_t feed(std::string_view bytes);

    /// @brief The sender has closed its side; completes an answer that ends so.
    void feedEnd();

    ParseState state() const;
    /// @brief Whether any byte of the message was seen.
    bool begun() const;
    /// @brief Complete from ParseState::Body on.
    MessageHead &head();
    /// @brief Body bytes that were read and not taken yet.
    std::string &body();
    /// @brief Bytes of memory that head and body take.
    std::size_t heldBytes() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace celeryroute
