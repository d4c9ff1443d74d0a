#pragma once

#include <string_view>

namespace bergamottide::internal {

/**
 * @brief Tells if the framing headers of an answer can be handed to h2o's client.
 *
 * h2o 2.2.5 aborts the process for a content length that is no number and for a transfer encoding other than
 * `chunked` and `identity`; a broken endpoint must cost its own runs only.
 *
 * @param input Bytes read so far, from the status line on; lines after the head are not looked at.
 * @return False if a whole line of the head is one of those.
 */
[[nodiscard]] bool framingIsSound(std::string_view input);

} // namespace bergamottide::internal
