#pragma once

#include "bergamottide/protocol/messages.h"

#include <string>

namespace bergamottide::test {

/*! @brief Writes a message as one short line of a trace. */
[[nodiscard]] std::string describe(const Message &message);

/*! @brief Writes a run as `request/stage/attempt`, the request by its low half. */
[[nodiscard]] std::string describe(const RunId &run);

} // namespace bergamottide::test
