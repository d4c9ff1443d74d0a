#pragma once

#include "bergamottide/config/settings.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/protocol/ticket.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/**
 * @file
 * @brief What the daemons do before their loop runs.
 */

/**
 * @brief Reads the settings of a process and prints every error to the standard error stream.
 * @param path File with the settings; empty for none.
 * @param overrides Settings of the command line, `name=value,…`.
 * @param role Role that the settings have to name.
 * @return The settings, or nothing after an error.
 */
[[nodiscard]] std::optional<Settings> loadSettings(const std::string &path, const std::string &overrides, Role role);

/**
 * @brief Reads the keys that authenticate tickets.
 * @param files Files with one secret each, the signing one first.
 * @return The keys, each named after its file, or an error that names the file.
 */
[[nodiscard]] absl::StatusOr<std::vector<TicketKey>> readTicketKeys(const std::vector<std::string> &files);

/*! @brief Draws the number that sets this start of the process apart from all others. */
[[nodiscard]] Incarnation drawIncarnation();

/*! @brief Returns the files of the callers' certificate. */
[[nodiscard]] TlsFiles callersTls(const Settings &settings);

/*! @brief Returns the files for mutual TLS between processes. */
[[nodiscard]] TlsFiles peersTls(const Settings &settings);

/**
 * @brief Prints one JSON line with the addresses listened on, for whoever started the process.
 * @param settings Settings of the process.
 * @param addresses Names and addresses of its ports.
 */
void announce(const Settings &settings, const std::vector<std::pair<std::string, std::string>> &addresses);

} // namespace bergamottide
