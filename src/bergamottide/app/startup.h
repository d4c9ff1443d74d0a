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
 * @brief Startup helpers of the daemons.
 */

/**
 * @brief Reads the settings of a process and prints every error to standard error.
 * @param path Settings file; empty for none.
 * @param overrides Settings from the command line, `name=value,…`; they take precedence over the file.
 * @param role Role of the program; settings with another role are an error.
 * @return The settings; nothing on error.
 */
[[nodiscard]] std::optional<Settings> loadSettings(const std::string &path, const std::string &overrides, Role role);

/**
 * @brief Reads the keys that authenticate tickets.
 * @param files Files with one secret each; the first secret signs.
 * @return The keys, each named after its file, or an error that names the file.
 */
[[nodiscard]] absl::StatusOr<std::vector<TicketKey>> readTicketKeys(const std::vector<std::string> &files);

/*!
 * @brief Makes the allocator return large blocks to the system once they are freed, whatever was allocated before.
 *
 * By default it keeps them for later, and what a burst has left counts as memory of the process.
 */
void returnFreedMemory();

/*! @brief Returns a random non-zero number that identifies this start of the process. */
[[nodiscard]] Incarnation randomIncarnation();

/*! @brief Returns the certificate files of the callers' port. */
[[nodiscard]] TlsFiles callersTls(const Settings &settings);

/*! @brief Returns the certificate files for mutual TLS between peers. */
[[nodiscard]] TlsFiles peersTls(const Settings &settings);

/**
 * @brief Prints one JSON line with identity and listen addresses to standard output, for the parent process.
 * @param settings Settings of the process.
 * @param addresses JSON key and address of each port.
 */
void printAddresses(const Settings &settings, const std::vector<std::pair<std::string, std::string>> &addresses);

} // namespace bergamottide
