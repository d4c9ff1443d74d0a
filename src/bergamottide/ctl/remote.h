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
 * @brief Subcommands that ask one or more processes; the table of `commands` describes each.
 */

/*! @brief Shows the state of processes. */
[[nodiscard]] ExitCode showStatus(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Merges the audit trails of processes. */
[[nodiscard]] ExitCode showAudit(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Tells a process to leave. */
[[nodiscard]] ExitCode drainProcess(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Submits one request. */
[[nodiscard]] ExitCode submitRequest(const CommandContext &context, const std::vector<std::string> &arguments);

/**
 * @brief Merges lines of audit trails in the order of their times.
 * @param trails Lines of JSON of each process.
 * @return All lines, the oldest first; a line without a time is left out.
 */
[[nodiscard]] std::vector<std::string> mergeTrails(const std::vector<std::string> &trails);

/*! @brief Time spent on one stage. */
struct StageCost
{
    double usefulSeconds{};
    double wastedSeconds{};
};

/*! @brief Time spent by the name of the stage. */
using StageCosts = std::map<std::string, StageCost>;

/**
 * @brief Sums up the time spent by stage over all workspaces.
 * @param metrics Text in the format of Prometheus.
 * @param costs Receives the sums.
 */
void addStageCosts(const std::string &metrics, StageCosts &costs);

/**
 * @brief Reads the time spent by stage from the metrics of sides.
 * @param context Its options name the admin ports and their key; a port that does not answer is reported.
 */
[[nodiscard]] StageCosts readStageCosts(const CommandContext &context);

/*! @brief Makes the HTTP request that submits a body to a pipeline. */
[[nodiscard]] HttpRequest submission(const ControlOptions &options, const std::string &pipeline,
                                     const std::string &body);

} // namespace bergamottide
