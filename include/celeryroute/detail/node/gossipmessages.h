#pragma once

#include <celeryroute/detail/allowance/entryreport.h>
#include <celeryroute/detail/gateway/crashreceipt.h>
#include <celeryroute/detail/gateway/crashreport.h>
#include <celeryroute/detail/keeper/entrydemand.h>
#include <celeryroute/detail/keeper/targetstatus.h>

#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

namespace wire {
class AgentLoad;
class AgentState;
class EntryGossip;
class EntryUsage;
class Envelope;
} // namespace wire

/// @brief Writes @p report into @p gossip.
void writeReport(const EntryReport &report, wire::EntryGossip &gossip);

/// @brief Writes the crash report @p report into @p gossip.
void writeCrashes(const CrashReport &report, wire::EntryGossip &gossip);

/// @brief Returns the crash report in @p gossip.
CrashReport readCrashes(const wire::EntryGossip &gossip);

/// @brief Writes @p receipt into @p gossip.
void writeReceipt(const CrashReceipt &receipt, wire::EntryGossip &gossip);

/// @brief Returns the receipt in @p gossip, if it contains one.
std::optional<CrashReceipt> readReceipt(const wire::EntryGossip &gossip);

/// @brief Returns the report in an envelope that carries gossip.
EntryReport readReport(const wire::Envelope &envelope);

/// @brief Writes @p view into @p state.
void writeView(const TargetStatus &view, wire::AgentState &state);

/// @brief Writes the load of @p status into @p load.
void writeLoad(const TargetStatus &status, wire::AgentLoad &load);

/// @brief Returns the demand in an entry's message.
EntryDemand readDemand(const wire::EntryUsage &usage);

} // namespace celeryroute
