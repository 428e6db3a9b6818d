#pragma once

#include <cstdint>
#include <optional>
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

/// @brief Spending and membership that an entry reports to the other entries.
///
/// A whole report replaces all earlier ones. An update builds on any report from its base on: it leaves out spending
/// that has not changed since the base, and all members but its receiver.
struct EntryReport {
    std::string sender; ///< IP address.
    std::uint64_t incarnation = 0; ///< Increases with each start of the entry.
    std::uint64_t sequence = 0; ///< Number of the report within the incarnation, from 1.
    std::vector<CustomerSpending> spent; ///< Customers for which the incarnation has spent tokens.
    std::vector<MemberAcknowledgement> members; ///< Entries from which the sender has received a report recently.
    std::uint64_t base = 0; ///< Report on which an update builds; 0 for a whole report.
    bool urgent = false; ///< The sender cannot spend much more before it is acknowledged.
    bool operator==(const EntryReport &) const = default;

    bool isUpdate() const
    {
        return base != 0;
    }
};

/// @brief A report and the entries to which it is to be sent.
struct OutgoingReport {
    EntryReport report; ///< The whole report.
    std::optional<EntryReport> update; ///< For receivers that have the base; its members are filled in for each.
    std::vector<std::string> receivers; ///< Empty for all known entries.
    bool operator==(const OutgoingReport &) const = default;
};

} // namespace celeryroute
