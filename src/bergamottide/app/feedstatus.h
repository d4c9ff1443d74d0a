#pragma once

#include "bergamottide/app/platformfeed.h"

#include <nlohmann/json.hpp>

namespace bergamottide {

/**
 * @brief Writes what a process knows from the platform, for the admin port.
 * @param feed Feed of the process.
 * @return JSON object with the version in force, its digest, its age, and the counts of reads.
 */
[[nodiscard]] nlohmann::json feedStatus(const PlatformFeed &feed);

} // namespace bergamottide
