#pragma once

#include "bergamottide/ctl/command.h"
#include "bergamottide/net/http.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamottide {

/**
 * @file
 * @brief Subcommands that call one or more processes; `commands` describes each.
 */

/*! @brief Shows the state of processes. */
[[nodiscard]] ExitCode showStatus(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Merges the audit trails of processes. */
[[nodiscard]] ExitCode showAudit(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Starts the graceful shutdown of a process. */
[[nodiscard]] ExitCode drainProcess(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Submits one request. */
[[nodiscard]] ExitCode submitRequest(const CommandContext &context, const std::vector<std::string> &arguments);

/**
 * @brief Merges audit trails in time order.
 * @param trails JSON lines of each process.
 * @return All lines, oldest first; lines without a time are left out.
 */
[[nodiscard]] std::vector<std::string> mergeAuditTrails(const std::vector<std::string> &trails);

/*! @brief Execution time spent on one stage. */
struct StageCost
{
    double usefulSeconds{};
    double wastedSeconds{};
};

/*! @brief Execution time by name of the stage. */
using StageCosts = std::map<std::string, StageCost>;

/**
 * @brief Adds the execution time by stage, summed over all workspaces.
 * @param metrics Metrics in the Prometheus text format.
 * @param costs Sums to add to.
 */
void addStageCosts(const std::string &metrics, StageCosts &costs);

/**
 * @brief Reads the execution time by stage from the metrics of sidecars.
 * @param context Options with the admin ports and their key; calls that fail are reported and skipped.
 */
[[nodiscard]] StageCosts readStageCosts(const CommandContext &context);

/*! @brief Returns the HTTP request that submits a body to a pipeline. */
[[nodiscard]] HttpRequest makeSubmission(const ControlOptions &options, const std::string &pipeline,
                                         const std::string &body);

} // namespace bergamottide
