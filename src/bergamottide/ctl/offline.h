#pragma once

#include "bergamottide/ctl/command.h"

#include <string>
#include <vector>

namespace bergamottide {

/**
 * @file
 * @brief Subcommands that need no running process; `commands` describes each.
 */

/*! @brief Checks a configuration document. */
[[nodiscard]] ExitCode validateDocument(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Checks the settings of a process. */
[[nodiscard]] ExitCode validateSettings(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Shows the sections that differ between two documents. */
[[nodiscard]] ExitCode diffDocuments(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Shows a document in its canonical form. */
[[nodiscard]] ExitCode showDocument(const CommandContext &context, const std::vector<std::string> &arguments);
/*! @brief Writes a reference as Markdown. */
[[nodiscard]] ExitCode showReference(const CommandContext &context, const std::vector<std::string> &arguments);

} // namespace bergamottide
