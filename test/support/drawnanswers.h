#pragma once

#include "support/rawserver.h"

#include <cstddef>
#include <mutex>
#include <optional>
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

    /**
     * @brief Returns the body if the answer is whole although its connection has ended.
     * @param sent Number of bytes sent before that.
     * @param end How the connection has ended.
     */
    [[nodiscard]] std::optional<std::string> bodyAfter(std::size_t sent, ConnectionEnd end) const;
};

/**
 * @brief Draws a sound HTTP/1.1 answer: by length, in chunks, without body or until the connection's end.
 * @param random Source of draws.
 * @param fields Lines of its final head besides those drawn.
 */
[[nodiscard]] SoundAnswer drawSoundAnswer(std::mt19937 &random, const std::string &fields = {});

/*! @brief The same of an answer after which the connection is kept. */
[[nodiscard]] SoundAnswer drawKeptAnswer(std::mt19937 &random, const std::string &fields = {});

/*! @brief Draws a sound answer with a body. */
[[nodiscard]] SoundAnswer drawAnswerOf(std::mt19937 &random, const std::string &body);

/*! @brief Draws answers with a body, most of them cut off; safe to use from several threads. */
class CutAnswers
{
public:
    /*! @brief Returns the next answer; a quarter of them are whole. */
    [[nodiscard]] RawScript next(const std::string &body);

    /*! @brief Returns the number of answers that were cut off. */
    [[nodiscard]] std::size_t cutCount() const;

private:
    mutable std::mutex m_mutex;
    std::mt19937 m_random{1};
    std::size_t m_cutCount{};
};

} // namespace bergamottide::test
