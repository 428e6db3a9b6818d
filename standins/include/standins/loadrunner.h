#pragma once

#include <celeryroute/detail/http/httpmulticlient.h>
#include <standins/loadplan.h>
#include <standins/loadreport.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Sends a planned load in open loop on the calling thread and judges every answer.
class LoadRunner
{
public:
    explicit LoadRunner(const LoadSettings &settings);

    /// @brief Returns when every call has ended.
    LoadRunReport run();

private:
    struct Call;

    void startRouted(const PlannedCall &planned);
    void startDirect(const PlannedCall &planned);
    void start(const std::shared_ptr<Call> &call, const HttpCall &httpCall);
    void finish(const Call &call, const HttpCallEnd &end);
    void count(const Call &call, const HttpCallEnd &end, LoadCounts &counts) const;
    HttpCall chatCall(const PlannedCall &planned, const std::string &url) const;
    HttpCall bookingCall(const PlannedCall &planned) const;

    const LoadSettings m_settings;
    HttpMultiClient m_client;
    LoadRunReport m_report;
};

} // namespace celeryroute
