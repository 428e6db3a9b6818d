#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace celeryroute {

/// What one entry has spent of a customer's allowance since the start of its incarnation.
struct CustomerSpending {
    std::string customer;
    double total = 0;
    bool operator==(const CustomerSpending &) const = default;
};

/// Another entry as the sender of a report knows it: an acknowledgement of its newest report.
struct MemberMark {
    std::string address; ///< IP number.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Newest that the sender has heard.
    bool pooled = false; ///< The sender uses this member's share.
    bool operator==(const MemberMark &) const = default;
};

/// What an entry tells the other entries about spending and membership; whole, the newest wins.
struct EntryReport {
    std::string sender; ///< IP number.
    std::uint64_t incarnation = 0; ///< A later start has a higher one.
    std::uint64_t sequence = 0; ///< Within the incarnation, from 1.
    std::vector<CustomerSpending> spent; ///< All customers that the incarnation has spent for.
    std::vector<MemberMark> members; ///< All that the sender has heard itself, not long ago.
    bool operator==(const EntryReport &) const = default;
};

/// A report with the entries to send it to.
struct OutgoingReport {
    EntryReport report;
    std::vector<std::string> receivers; ///< Empty for all entries that are known.
    bool operator==(const OutgoingReport &) const = default;
};

} // namespace celeryroute
