#pragma once

#include "bergamottide/core/enumnames.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace bergamottide {

/*! @brief Why a server has rejected a request before its handler, or closed a connection. */
enum class CallerRefusal : std::uint8_t
{
    /*! @brief No memory for the request; its response says that it was not run. */
    RequestMemory,
    /*! @brief No memory for the response, which is broken off. */
    ResponseMemory,
    HeadTooLarge,
    /*! @brief Readers may take the request to end at different bytes. */
    FramingAmbiguous,
    HeadTooSlow,
    BodyTooSlow,
    /*! @brief The caller takes its response too slowly. */
    ReaderTooSlow,
    /*! @brief Closed, idle or with an incomplete request, for a new connection. */
    ConnectionReplaced,
    /*! @brief A new connection, closed unread as all others have requests in progress. */
    TooManyConnections
};

template <>
struct EnumNames<CallerRefusal>
{
    static constexpr std::array<std::string_view, 9> names{
        "request_memory", "response_memory", "head_too_large",      "framing_ambiguous",   "head_too_slow",
        "body_too_slow",  "reader_too_slow", "connection_replaced", "too_many_connections"};
};

} // namespace bergamottide
