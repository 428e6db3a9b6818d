#include <celeryroute/detail/http1/messagewriter.h>

#include <array>
#include <charconv>
#include <ostream> // Boost's string view needs it complete.

#include <boost/beast/http/status.hpp>

namespace celeryroute {

namespace {

constexpr std::string_view LineEnd = "\r\n";

} // namespace

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append(LineEnd);
}

void appendRequestLine(std::string &out, std::string_view method, std::string_view target)
{
    out.append(method).append(" ").append(target).append(" HTTP/1.1").append(LineEnd);
}

void appendStatusLine(std::string &out, int status, std::string_view reason)
{
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    out.append(reason.empty() ? reasonPhrase(status) : reason).append(LineEnd);
}

void appendChunk(std::string &out, std::string_view bytes)
{
    constexpr int Hexadecimal = 16;
    if (bytes.empty()) {
        return;
    }
    std::array<char, sizeof(std::size_t) * 2> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), Hexadecimal).ptr;
    out.append(size.data(), end).append(LineEnd).append(bytes).append(LineEnd);
}

void appendLastChunk(std::string &out)
{
    out.append("0\r\n\r\n");
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace celeryroute
