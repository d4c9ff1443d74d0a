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
    HeadTooLarge
};

template <>
struct EnumNames<CallerRefusal>
{
    static constexpr std::array<std::string_view, 2> names{"request_memory", "head_too_large"};
};

} // namespace bergamottide
