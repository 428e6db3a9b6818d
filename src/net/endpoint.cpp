#include <celeryroute/detail/net/endpoint.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace celeryroute {

std::optional<std::uint32_t> parseIp(const std::string &text)
{
    in_addr address{};
    if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
        return std::nullopt;
    }
    return ntohl(address.s_addr);
}

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto ip = parseIp(text.substr(0, colon));
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (!ip || error != std::errc() || rest != end || port == 0) {
        return std::nullopt;
    }
    return Endpoint{*ip, port};
}

std::string ipText(std::uint32_t ip)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    in_addr address{};
    address.s_addr = htonl(ip);
    inet_ntop(AF_INET, &address, text.data(), text.size());
    return text.data();
}

std::string toString(const Endpoint &endpoint)
{
    return ipText(endpoint.ip) + ':' + std::to_string(endpoint.port);
}

} // namespace celeryroute
