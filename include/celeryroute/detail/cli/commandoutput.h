#pragma once

#include <celeryroute/detail/cli/command.h>
#include <celeryroute/detail/cli/declarationplan.h>
#include <celeryroute/detail/state/recordresult.h>

namespace celeryroute {

/// @brief Prints @p error for people or, with `--json`, as one object; returns the exit code it means.
ExitCode printError(const CommandOptions &options, CommandContext &context, const Error &error);
void printPlan(const CommandOptions &options, CommandContext &context, const std::vector<PlannedChange> &plan);
/// @brief Prints what became of a record; @p before and @p after are the states around it.
ExitCode printVerdict(const CommandOptions &options,
                      CommandContext &context,
                      const RecordResult &verdict,
                      const FleetState &before,
                      const FleetState &after);
/// @brief Prints @p state; @p table limits it to `routes`, `pools`, `customers`, `hosts`, `shares` or
/// `authority`, empty for all. Returns false for another word.
bool printState(const CommandOptions &options,
                CommandContext &context,
                const FleetState &state,
                const std::string &table);
void printKeys(const CommandOptions &options,
               CommandContext &context,
               const FleetState &state,
               const std::string &customer);

} // namespace celeryroute
