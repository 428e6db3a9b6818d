#pragma once

#include <celeryroute/time.h>

#include <cstddef>
#include <cstdint>

namespace celeryroute {

/// @brief Rates, sizes and intervals of the crash reports between entries.
struct CrashExchangeLimits {
    /// Bytes a second that an entry sends, and receives, as crash reports of all peers together.
    std::size_t linkBytesPerSecond = std::size_t{128} * 1024;
    /// Largest crash report, in bytes. A mark with many parts may exceed it by itself.
    std::size_t datagramBytes = 1000;
    /// Time without a receipt after which a mark is sent again. It doubles after each further transmission but the
    /// first ones.
    Duration resendInterval = std::chrono::milliseconds(500);
    /// Transmissions that follow each other after resendInterval.
    std::uint32_t promptTransmissions = 4;
    /// Longest time between transmissions.
    Duration maxResendInterval = std::chrono::seconds(8);
    /// Transmissions of a mark to a peer that gives no receipts, because it is of an older build.
    std::uint32_t transmissionsWithoutReceipts = 8;
    /// A peer that has been silent for longer is told nothing.
    Duration heardTimeout = std::chrono::seconds(3);
    /// A peer that has been silent for longer is forgotten.
    Duration peerRetention = std::chrono::seconds(30);
    /// Time for which reports to a peer contain the receipt after its newest crash report.
    Duration receiptRetention = std::chrono::seconds(2);
    /// Entries that tell a peer what other entries have seen.
    std::size_t relays = 3;
    bool operator==(const CrashExchangeLimits &) const = default;
};

} // namespace celeryroute
