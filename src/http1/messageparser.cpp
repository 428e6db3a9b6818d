#include <celeryroute/detail/http1/messageparser.h>

#include <celeryroute/detail/base/compactbuffer.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <variant>

namespace celeryroute {

namespace {

/// The least bytes of a chunked body. The parser fails an assertion when it meets them in smaller parts.
constexpr std::size_t LeastChunkedBody = 5;
constexpr int CurrentVersion = 11;
constexpr int LeastStatus = 100;
constexpr int GreatestStatus = 599;

namespace http = boost::beast::http;
using BeastError = boost::beast::error_code;
using BeastView = boost::beast::string_view;

std::string_view toView(BeastView text)
{
    return {text.data(), text.size()};
}

/// Collects what one Beast parser reads.
struct Collected {
    MessageHead head;
    std::string body;
    std::uint64_t bodyRead = 0;
    std::uint64_t bodyLimit = UINT64_MAX;
    std::uint64_t extensionRead = 0; ///< Of chunks.
    std::size_t headRead = 0; ///< Without what the sender may leave out.
    std::size_t headLimit = 0;
    std::size_t hosts = 0;
    bool headDone = false;
    bool chunkBegun = false;
    bool smuggling = false;

    std::size_t takeBody(BeastView bytes, BeastError &error)
    {
        bodyRead += bytes.size();
        if (bodyRead > bodyLimit) {
            error = http::error::body_limit;
            return 0;
        }
        appendCompactly(body, toView(bytes));
        return bytes.size();
    }

    void takeField(http::field id, BeastView name, BeastView value, BeastError &error)
    {
        if (headDone) {
            return; // Trailers say nothing that may be believed.
        }
        const std::string_view text = toView(value);
        if (id == http::field::transfer_encoding && !equalsIgnoringCase(text, "chunked")) {
            smuggling = true;
        }
        hosts += id == http::field::host ? 1 : 0;
        countHead(name.size() + value.size(), error);
        head.fields.push_back({std::string(toView(name)), std::string(text)});
    }

    // In proportion to the body, or else many small chunks would bring far more bytes than the limits allow.
    void takeExtension(BeastView extension, BeastError &error)
    {
        extensionRead += extension.size();
        if (extensionRead > headLimit + bodyRead) {
            error = http::error::header_limit;
        }
    }

    // The parser itself bounds only what it has not consumed yet.
    void countHead(std::size_t bytes, BeastError &error)
    {
        constexpr std::size_t Separators = 4; // Of a line.
        headRead += bytes + Separators;
        if (headRead > headLimit) {
            error = http::error::header_limit;
        }
    }
};

template <bool IsRequest>
class BeastParser final : public http::basic_parser<IsRequest>
{
public:
    Collected collected;

    explicit BeastParser(const MessageLimits &limits)
    {
        collected.bodyLimit = limits.bodyBytes;
        collected.headLimit = limits.headBytes;
        this->eager(true);
        this->header_limit(limits.headBytes);
        this->body_limit(boost::none);
    }

private:
    void on_request_impl(http::verb, BeastView method, BeastView target, int version, BeastError &error) override
    {
        constexpr std::size_t VersionBytes = 8;
        collected.countHead(method.size() + target.size() + VersionBytes, error);
        collected.head.method = toView(method);
        collected.head.target = toView(target);
        collected.head.version = version;
    }

    void on_response_impl(int status, BeastView reason, int version, BeastError &error) override
    {
        if (status < LeastStatus || status > GreatestStatus) {
            error = http::error::bad_status;
        }
        collected.head.status = status;
        collected.head.reason = toView(reason);
        collected.head.version = version;
    }

    void on_field_impl(http::field id, BeastView name, BeastView value, BeastError &error) override
    {
        collected.takeField(id, name, value, error);
    }

    void on_header_impl(BeastError &error) override
    {
        collected.headDone = true;
        if (collected.smuggling || (this->chunked() && collected.head.version < CurrentVersion)) {
            error = http::error::bad_transfer_encoding;
        } else if (IsRequest && collected.hosts > 1) {
            error = http::error::bad_field;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, BeastError &) override {}

    std::size_t on_body_impl(BeastView body, BeastError &error) override
    {
        return collected.takeBody(body, error);
    }

    void on_chunk_header_impl(std::uint64_t, BeastView extension, BeastError &error) override
    {
        collected.chunkBegun = true;
        if (IsRequest) {
            collected.takeExtension(extension, error);
        }
    }

    std::size_t on_chunk_body_impl(std::uint64_t, BeastView body, BeastError &error) override
    {
        return collected.takeBody(body, error);
    }

    void on_finish_impl(BeastError &) override {}
};

using AnyParser = std::variant<std::unique_ptr<BeastParser<true>>, std::unique_ptr<BeastParser<false>>>;

/// @brief Whether a line of the head in @p consumed continues the field before it.
///
/// The parser consumes whole fields, so such a line is never apart from its field. What it has consumed may also hold
/// the end of the head and a part of the body.
bool continuesField(std::string_view consumed)
{
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    constexpr std::string_view LineEnd = HeadEnd.substr(0, 2);
    const std::string_view fields = consumed.starts_with(LineEnd) ? std::string_view()
                                                                  : consumed.substr(0, consumed.find(HeadEnd));
    return fields.find("\r\n ") != std::string_view::npos || fields.find("\r\n\t") != std::string_view::npos;
}

AnyParser makeParser(MessageKind kind, const MessageLimits &limits)
{
    if (kind == MessageKind::Request) {
        return std::make_unique<BeastParser<true>>(limits);
    }
    return std::make_unique<BeastParser<false>>(limits);
}

template <bool IsRequest>
void readFraming(const BeastParser<IsRequest> &parser, MessageHead &head)
{
    head.keepAlive = parser.keep_alive();
    if (parser.chunked()) {
        head.framing = BodyFraming::Chunked;
    } else if (const auto length = parser.content_length()) {
        head.framing = *length > 0 ? BodyFraming::Length : BodyFraming::None;
        head.bodyLength = *length;
    } else if (!IsRequest && !parser.is_done()) {
        head.framing = BodyFraming::UntilClose;
    }
}

} // namespace

class MessageParser::Private
{
public:
    Private(MessageKind kind, const MessageLimits &limits)
        : parser(makeParser(kind, limits))
    {}

    AnyParser parser;
    ParseState state = ParseState::Head;
    bool begun = false;

    Collected &collected()
    {
        return std::visit([](auto &beast) -> Collected & { return beast->collected; }, parser);
    }

    std::size_t feed(std::string_view bytes)
    {
        begun = begun || !bytes.empty();
        std::size_t consumed = 0;
        while (consumed < bytes.size() && (state == ParseState::Head || state == ParseState::Body)) {
            const std::string_view rest = bytes.substr(consumed);
            if (beforeChunks() && rest.size() < LeastChunkedBody) {
                break;
            }
            const std::size_t step = put(rest);
            consumed += step;
            if (step == 0) {
                break;
            }
        }
        // What stays is the begin of a chunk or the trailers; only the sender bounds their length.
        if (state == ParseState::Body && bytes.size() - consumed > collected().headLimit) {
            state = ParseState::HeadTooLarge;
        }
        return consumed;
    }

    bool beforeChunks()
    {
        const bool chunked = std::visit([](const auto &beast) { return beast->chunked(); }, parser);
        return chunked && state == ParseState::Body && !collected().chunkBegun;
    }

    bool isAnswer() const
    {
        return std::holds_alternative<std::unique_ptr<BeastParser<false>>>(parser);
    }

    std::size_t put(std::string_view bytes)
    {
        BeastError error;
        const bool inHead = state == ParseState::Head;
        const std::size_t consumed = std::visit(
            [&](auto &beast) { return beast->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error); },
            parser);
        update(error);
        // Beast joins such a line to the value before, though its sender may have meant a field of its own.
        if (inHead && isAnswer() && continuesField(bytes.substr(0, consumed))) {
            state = ParseState::Malformed;
        }
        return consumed;
    }

    void update(const BeastError &error)
    {
        if (error && error != http::error::need_more) {
            state = failure(error);
            return;
        }
        std::visit(
            [this](auto &beast) {
                if (beast->is_header_done() && state == ParseState::Head) {
                    readFraming(*beast, beast->collected.head);
                    state = ParseState::Body;
                }
                if (beast->is_done()) {
                    state = ParseState::Complete;
                }
            },
            parser);
    }

    static ParseState failure(const BeastError &error)
    {
        if (error == http::error::header_limit) {
            return ParseState::HeadTooLarge;
        }
        return error == http::error::body_limit ? ParseState::BodyTooLarge : ParseState::Malformed;
    }
};

MessageParser::MessageParser(MessageKind kind, const MessageLimits &limits)
    : m_private(std::make_unique<Private>(kind, limits))
{}

MessageParser::~MessageParser() = default;

void MessageParser::expectNoBody(bool noBody)
{
    std::visit([noBody](auto &beast) { beast->skip(noBody); }, m_private->parser);
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    return m_private->feed(bytes);
}

void MessageParser::feedEnd()
{
    BeastError error;
    std::visit([&error](auto &beast) { beast->put_eof(error); }, m_private->parser);
    m_private->update(error);
    if (m_private->state != ParseState::Complete) {
        m_private->state = ParseState::Malformed;
    }
}

ParseState MessageParser::state() const
{
    return m_private->state;
}

bool MessageParser::begun() const
{
    return m_private->begun;
}

MessageHead &MessageParser::head()
{
    return m_private->collected().head;
}

std::size_t MessageParser::heldBytes() const
{
    const Collected &collected = m_private->collected();
    return collected.body.capacity() + collected.headRead + collected.head.fields.capacity() * sizeof(HeaderField);
}

std::string &MessageParser::body()
{
    return m_private->collected().body;
}

} // namespace celeryroute
