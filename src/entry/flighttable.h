#pragma once

#include <celeryroute/detail/entry/flight.h>

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace celeryroute {

/// @brief Calls in progress, indexed by request id, attempt id and deadline.
class FlightTable
{
public:
    Flight &add(CallerCall call, std::shared_ptr<HttpResponder> responder);
    Flight *find(const std::string &requestId);
    Flight *findAttempt(const std::string &attemptId);
    /// @brief Makes @p attempt the current attempt of @p flight; the previous one is removed.
    void setAttempt(Flight &flight, std::unique_ptr<EntryAttempt> attempt);
    void clearAttempt(Flight &flight);
    void remove(const std::string &requestId);
    /// @brief Request ids whose deadline is at or before @p now; each is returned once.
    std::vector<std::string> takeExpired(TimePoint now);
    /// @brief Request ids for which @p condition holds.
    std::vector<std::string> select(const std::function<bool(const Flight &)> &condition) const;
    /// @brief Hosts at which attempts are in progress.
    std::set<std::string> hosts() const;
    std::size_t size() const;

private:
    absl::flat_hash_map<std::string, std::unique_ptr<Flight>> m_flights;
    absl::flat_hash_map<std::string, std::string> m_requestOfAttempt;
    std::set<std::pair<TimePoint, std::string>> m_deadlines;
};

} // namespace celeryroute
