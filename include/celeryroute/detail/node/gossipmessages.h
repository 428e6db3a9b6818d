#pragma once

#include <celeryroute/detail/allowance/entryreport.h>
#include <celeryroute/detail/gateway/crashsuspects.h>
#include <celeryroute/detail/keeper/entrydemand.h>
#include <celeryroute/detail/keeper/keeperview.h>

#include <string>
#include <vector>

namespace celeryroute {

namespace wire {
class AgentState;
class EntryGossip;
class EntryUsage;
class Envelope;
} // namespace wire

/// @brief Writes @p report into @p gossip.
void writeReport(const EntryReport &report, wire::EntryGossip &gossip);

/// @brief Writes @p marks into @p gossip.
void writeMarks(const std::vector<CrashMark> &marks, wire::EntryGossip &gossip);

/// @brief The marks in @p gossip.
std::vector<CrashMark> readMarks(const wire::EntryGossip &gossip);

/// @brief The report that an envelope with gossip carries.
EntryReport readReport(const wire::Envelope &envelope);

/// @brief Writes @p view into @p state.
void writeView(const TargetStatus &view, wire::AgentState &state);

/// @brief What an entry's message says of its demand.
EntryDemand readDemand(const wire::EntryUsage &usage);

} // namespace celeryroute
