#pragma once

#include "support/rawserver.h"

#include <random>
#include <string>

namespace bergamottide::test {

/**
 * @brief Draws the bytes of an HTTP/1.1 answer by a grammar of heads and bodies, few of which are sound.
 * @param random Source of draws.
 * @param hasStatusLine Whether the bytes begin with a status line.
 */
[[nodiscard]] std::string drawAnswer(std::mt19937 &random, bool hasStatusLine);

/*! @brief Draws an answer that may go on without end in its head, its body, a chunk's extension or a trailer. */
[[nodiscard]] RawScript drawScript(std::mt19937 &random);

} // namespace bergamottide::test
