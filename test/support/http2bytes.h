#pragma once

#include "bergamottide/net/http.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace bergamottide::test {

/**
 * @brief Returns the bytes of an HTTP/2 connection with prior knowledge (RFC 9113) that begins POST requests without
 * ending them.
 * @param authority Host of the requests.
 * @param path Path of the requests.
 * @param fields Further header fields, names in lower case.
 * @param streams Number of requests.
 */
[[nodiscard]] std::string http2UnfinishedRequests(const std::string &authority, const std::string &path,
                                                  const HttpHeaders &fields, std::uint32_t streams);

/*! @brief Whether DATA frames are the last of their requests. */
enum class Http2End : std::uint8_t
{
    Open,
    Ended
};

/**
 * @brief Returns one DATA frame for each of these requests.
 * @param streams Number of requests.
 * @param bytes Bytes of each frame, 16,384 at most.
 * @param end Whether the requests end with it.
 */
[[nodiscard]] std::string http2DataFrames(std::uint32_t streams, std::size_t bytes, Http2End end = Http2End::Open);

/*! @brief Returns PING frames, each of which is to be answered. */
[[nodiscard]] std::string http2Pings(std::size_t count);

} // namespace bergamottide::test
