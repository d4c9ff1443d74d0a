#pragma once

#include "bergamottide/ctl/command.h"

#include <string>
#include <vector>

namespace bergamottide {

/**
 * @brief Shows the timeline of one request from the logs of several processes.
 *
 * Prints every line that names the request, in time order, and in between the state changes that the same processes
 * logged about the involved endpoints, the store and their peers.
 *
 * @param context Options and streams of the command.
 * @param arguments Identity of the request, then the files with the logs.
 */
[[nodiscard]] ExitCode explainRequest(const CommandContext &context, const std::vector<std::string> &arguments);

} // namespace bergamottide
