#pragma once

#include <string_view>

namespace bergamottide::internal {

/**
 * @brief Returns whether all readers take a request to end at the same byte (RFC 9112, section 6.3).
 *
 * h2o 2.2.5 takes the first of two lengths, and prefers a transfer coding to a length; a proxy before it may do
 * otherwise, and what one reader takes for a body is then a further request for the other.
 *
 * @param input Bytes of the request from its request line on; those behind the head are not looked at.
 */
[[nodiscard]] bool isFramingUnambiguous(std::string_view input);

} // namespace bergamottide::internal
