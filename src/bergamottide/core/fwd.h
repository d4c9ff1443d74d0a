#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/outcome.h"
#include "bergamottide/core/time.h"

namespace bergamottide {

/*! @brief Scheduling priority passed on to an engine; larger goes first. */
using Priority = int;

/*! @brief Whether a stage run may be repeated. */
enum class Repeatable : bool
{
    No,
    Yes
};

} // namespace bergamottide
