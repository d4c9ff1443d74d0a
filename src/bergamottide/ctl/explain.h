#pragma once

#include "bergamottide/ctl/command.h"

#include <string>
#include <vector>

namespace bergamottide {

/**
 * @brief Tells the story of one request from the logs of several processes.
 *
 * Shows every line that names the request, in the order of time, and between them what the same processes came to
 * believe meanwhile of the endpoints involved, of the store and of their peers.
 *
 * @param context What the command works with.
 * @param arguments Identity of the request, then the files with the logs.
 */
[[nodiscard]] ExitCode explainRequest(const CommandContext &context, const std::vector<std::string> &arguments);

} // namespace bergamottide
