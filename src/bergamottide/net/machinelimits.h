#pragma once

#include <cstddef>

namespace bergamottide {

/*! @brief Returns the memory that this process may use, in bytes: that of the machine, or its own limit if less. */
[[nodiscard]] std::size_t availableMemory();

/*! @brief Returns the number of descriptors that this process may have open. */
[[nodiscard]] std::size_t availableDescriptors();

/*! @brief Returns the default limit of what is held for callers, in bytes: a quarter of the memory. */
[[nodiscard]] std::size_t defaultMemoryLimit();

/*!
 * @brief Returns the default number of connections from callers: half of the descriptors at most, so that enough are
 * left for endpoints, peers and the store, and no more than their kernel buffers find memory for.
 */
[[nodiscard]] std::size_t defaultMaxConnections();

} // namespace bergamottide
