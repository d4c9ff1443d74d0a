#pragma once

#include <cstddef>
#include <optional>
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

/**
 * @brief Finds the end of a head, with or without carriage returns.
 * @param input Bytes of the request from its request line on.
 * @param from Bytes in which the end has been looked for before.
 * @return Position behind the head; `npos` if it is not complete.
 */
[[nodiscard]] std::size_t headEnd(std::string_view input, std::size_t from);

/*! @brief What a head says of the body behind it. */
struct RequestBody
{
    /*! @brief Announced length; zero if there is none, the largest number if it is beyond all. */
    std::size_t bytes{};
    /*! @brief The body comes in chunks, so that its length is not known. */
    bool isChunked{};
};

/**
 * @brief Reads what a complete head says of the body behind it.
 * @param input Bytes of the request from its request line on.
 * @return The body; nothing if the framing is ambiguous.
 */
[[nodiscard]] std::optional<RequestBody> announcedBody(std::string_view input);

} // namespace bergamottide::internal
