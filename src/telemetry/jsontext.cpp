#include <celeryroute/detail/telemetry/jsontext.h>

#include <charconv>
#include <cmath>

namespace celeryroute {

namespace {

constexpr std::string_view Ellipsis = "...";
constexpr std::string_view ReplacementCharacter = "\xEF\xBF\xBD";
constexpr std::size_t MaxNumberLength = 32;

unsigned char byteAt(std::string_view text, std::size_t at)
{
    return static_cast<unsigned char>(text[at]);
}

bool isContinuation(unsigned char byte)
{
    return (byte & 0xC0U) == 0x80U;
}

// Rejects overlong encodings, surrogates and code points above U+10FFFF.
bool isSecondByte(unsigned char first, unsigned char second)
{
    switch (first) {
    case 0xE0:
        return second >= 0xA0 && second <= 0xBF;
    case 0xED:
        return second >= 0x80 && second <= 0x9F;
    case 0xF0:
        return second >= 0x90 && second <= 0xBF;
    case 0xF4:
        return second >= 0x80 && second <= 0x8F;
    default:
        return isContinuation(second);
    }
}

std::size_t sequenceLength(unsigned char first)
{
    if (first >= 0xC2 && first <= 0xDF) {
        return 2;
    }
    if (first >= 0xE0 && first <= 0xEF) {
        return 3;
    }
    return first >= 0xF0 && first <= 0xF4 ? 4 : 0;
}

// Length in bytes of the multi-byte UTF-8 character at a position; 0 if it is invalid.
std::size_t characterLength(std::string_view text, std::size_t at)
{
    const std::size_t length = sequenceLength(byteAt(text, at));
    if (length == 0 || length > text.size() - at || !isSecondByte(byteAt(text, at), byteAt(text, at + 1))) {
        return 0;
    }
    for (std::size_t i = 2; i < length; ++i) {
        if (!isContinuation(byteAt(text, at + i))) {
            return 0;
        }
    }
    return length;
}

std::string_view truncateAtCharacter(std::string_view text)
{
    std::size_t length = MaxLoggedTextBytes - Ellipsis.size();
    while (length > 0 && isContinuation(byteAt(text, length))) {
        --length;
    }
    return text.substr(0, length);
}

bool needsNoEscape(unsigned char byte)
{
    return byte >= 0x20 && byte < 0x7F && byte != '"' && byte != '\\';
}

void appendEscape(std::string &out, unsigned char byte)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    if (byte == '"' || byte == '\\') {
        out += '\\';
        out += static_cast<char>(byte);
    } else if (byte == '\n') {
        out += "\\n";
    } else {
        out += "\\u00";
        out += Digits[byte >> 4U];
        out += Digits[byte & 0x0FU];
    }
}

void appendEscaped(std::string &out, std::string_view text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t start = at;
        while (at < text.size() && needsNoEscape(byteAt(text, at))) {
            ++at;
        }
        out += text.substr(start, at - start);
        if (at == text.size()) {
            return;
        }
        if (byteAt(text, at) < 0x80) {
            appendEscape(out, byteAt(text, at++));
        } else if (const std::size_t length = characterLength(text, at)) {
            out += text.substr(at, length);
            at += length;
        } else {
            out += ReplacementCharacter;
            ++at;
        }
    }
}

template <typename T>
void appendNumber(std::string &out, T number)
{
    char digits[MaxNumberLength];
    const std::to_chars_result result = std::to_chars(digits, digits + sizeof(digits), number);
    out.append(digits, result.ptr);
}

} // namespace

std::string loggedText(std::string_view text)
{
    if (text.size() <= MaxLoggedTextBytes) {
        return std::string(text);
    }
    return std::string(truncateAtCharacter(text)).append(Ellipsis);
}

void appendJsonText(std::string &out, std::string_view text)
{
    out += '"';
    if (text.size() <= MaxLoggedTextBytes) {
        appendEscaped(out, text);
    } else {
        appendEscaped(out, truncateAtCharacter(text));
        out += Ellipsis;
    }
    out += '"';
}

void appendJsonNumber(std::string &out, std::int64_t number)
{
    appendNumber(out, number);
}

void appendJsonNumber(std::string &out, std::uint64_t number)
{
    appendNumber(out, number);
}

void appendJsonNumber(std::string &out, double number)
{
    if (std::isfinite(number)) {
        appendNumber(out, number);
    } else {
        out += "null";
    }
}

void appendJsonField(std::string &out, const DecisionField &field)
{
    struct ValueWriter {
        std::string &out;
        void operator()(std::monostate) const {}
        void operator()(std::string_view text) const
        {
            appendJsonText(out, text);
        }
        void operator()(bool flag) const
        {
            out += flag ? "true" : "false";
        }
        void operator()(std::int64_t number) const
        {
            appendJsonNumber(out, number);
        }
        void operator()(std::uint64_t number) const
        {
            appendJsonNumber(out, number);
        }
        void operator()(double number) const
        {
            appendJsonNumber(out, number);
        }
    };
    if (std::holds_alternative<std::monostate>(field.value())) {
        return;
    }
    out += ",\"";
    out += field.key();
    out += "\":";
    std::visit(ValueWriter{out}, field.value());
}

} // namespace celeryroute
