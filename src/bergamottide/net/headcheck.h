#pragma once

#include <cstdint>
#include <span>

namespace bergamottide::internal {

/*! @brief What the bytes of an answer that have come so far are. */
enum class HeadState : std::uint8_t
{
    /*! @brief The head of the final answer has not come as a whole. */
    Incomplete,
    /*! @brief h2o's client can take the head. */
    Sound,
    /*! @brief h2o's client must not see these bytes. */
    Malformed
};

/**
 * @brief Checks the framing headers of an answer before h2o's client reads them, those behind interim answers too.
 *
 * h2o 2.2.5 aborts the process for a content length that is no number and for a transfer encoding other than
 * `chunked` and `identity`, compared as bytes; a broken endpoint must cost its own runs only. Values that HTTP/1.1
 * takes for equal to these (RFC 9112, sections 5.1 and 7) are rewritten in place to what h2o compares with.
 *
 * @param input Bytes that h2o has not taken, from a status line on; lines after the final head are not looked at.
 * @return State of the head; malformed also for lines that readers take differently, for lengths that differ, and for a
 * length beside chunks (RFC 9112, section 6.3).
 */
[[nodiscard]] HeadState checkHead(std::span<char> input);

} // namespace bergamottide::internal
