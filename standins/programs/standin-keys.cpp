#include <array>
#include <cstdio>
#include <zmq.h>

namespace {

constexpr std::size_t CurveKeyBuffer = 41;

} // namespace

// Prints a public and a secret CURVE key for a deployment on one machine.
int main()
{
    std::array<char, CurveKeyBuffer> publicKey{};
    std::array<char, CurveKeyBuffer> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        std::fputs("this ZeroMQ library has no CURVE\n", stderr);
        return 1;
    }
    std::printf("%s %s\n", publicKey.data(), secretKey.data());
    return 0;
}
