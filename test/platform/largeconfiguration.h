#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace bergamottide::test {

/**
 * @brief Returns a configuration of routes and workspaces.
 * @param version Version.
 * @param bytes Least size of the text.
 */
[[nodiscard]] std::string largeConfiguration(std::uint64_t version, std::size_t bytes);

/*! @brief Returns the store's response to a watch that reports a number of versions of the configuration. */
[[nodiscard]] std::string configurationChanges(std::size_t versions, std::size_t bytes);

} // namespace bergamottide::test
