#pragma once

#include "bergamottide/core/ids.h"

namespace bergamottide::sharing {

/*! @brief A workspace that has gone above its share of a pool, or back within it. */
struct ShareChange
{
    WorkspaceName workspace;
    bool isAbove{};
};

} // namespace bergamottide::sharing
