#pragma once

#include "support/harness.h"

namespace bergamottide::test {

/**
 * @brief Returns the naive version that the decisions under load are compared with.
 *
 * Entries place round robin over the pool, admit everything and try again without limit,
 * also after a timeout; sides queue first come first served without a bound. Nothing
 * looks at load, deadlines, workspaces, zones or the health of an endpoint.
 */
[[nodiscard]] LogicFactory naiveLogic();

} // namespace bergamottide::test
