#include <celeryroute/detail/base/digest.h>

#include <array>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <xxhash.h>

namespace celeryroute {

std::string sha256(const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return {reinterpret_cast<const char *>(digest.data()), size};
}

std::string sha256(const std::vector<std::string> &parts)
{
    std::string framed;
    for (const std::string &part : parts) {
        framed += std::to_string(part.size());
        framed += ':';
        framed += part;
    }
    return sha256(framed);
}

std::string toHex(const std::string &bytes)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += Digits[value >> 4U];
        text += Digits[value & 0xFU];
    }
    return text;
}

std::uint64_t stableHash(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousScore(const std::string &key, const std::string &host)
{
    return stableHash(key + '\n' + host);
}

std::string joinDigests(const std::vector<std::uint64_t> &digests)
{
    std::string text;
    for (const std::uint64_t digest : digests) {
        text += text.empty() ? "" : ",";
        text += std::to_string(digest);
    }
    return text;
}

// Identifiers become fencing and idempotency tokens, so a weak source would let two processes meet.
std::string randomId(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(raw.data()), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("the system's random source failed");
    }
    return toHex(raw);
}

} // namespace celeryroute
