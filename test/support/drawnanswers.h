#pragma once

#include "support/rawserver.h"

#include <cstddef>
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

/*! @brief An answer that is sound as a whole. */
struct SoundAnswer
{
    int status{};
    std::string bytes;
    std::string body;
    /*! @brief Size of the head, with the interim heads before it. */
    std::size_t headBytes{};
    /*! @brief The body ends with the connection. */
    bool endsWithConnection{};
};

/*! @brief Draws a sound HTTP/1.1 answer: by length, in chunks, without body or until the connection's end. */
[[nodiscard]] SoundAnswer drawSoundAnswer(std::mt19937 &random);

/*! @brief Draws a sound answer after which the connection is kept. */
[[nodiscard]] SoundAnswer drawKeptAnswer(std::mt19937 &random);

} // namespace bergamottide::test
