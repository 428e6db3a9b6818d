#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief The tokens of a customer's allowance that one entry has spent since the start of its incarnation.
struct CustomerSpending {
    std::string customer;
    double total = 0;
    bool operator==(const CustomerSpending &) const = default;
};

/// @brief An entry that the sender of a report knows, with an acknowledgement of that entry's newest report.
struct MemberAcknowledgement {
    std::string address; ///< IP address.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Newest report that the sender has received.
    bool connected = false; ///< The sender uses this member's share.
    bool operator==(const MemberAcknowledgement &) const = default;
};

/// @brief Spending and membership that an entry reports to the other entries. A report replaces all earlier ones.
struct EntryReport {
    std::string sender; ///< IP address.
    std::uint64_t incarnation = 0; ///< Increases with each start of the entry.
    std::uint64_t sequence = 0; ///< Number of the report within the incarnation, from 1.
    std::vector<CustomerSpending> spent; ///< All customers for which the incarnation has spent tokens.
    std::vector<MemberAcknowledgement> members; ///< All entries from which the sender has received a report recently.
    bool operator==(const EntryReport &) const = default;
};

/// @brief A report and the entries to which it is to be sent.
struct OutgoingReport {
    EntryReport report;
    std::vector<std::string> receivers; ///< Empty for all known entries.
    bool operator==(const OutgoingReport &) const = default;
};

} // namespace celeryroute
