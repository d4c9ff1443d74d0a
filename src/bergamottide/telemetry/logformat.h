#pragma once

#include "bergamottide/core/enumnames.h"

#include <cstdint>

namespace bergamottide {

/*! @brief How log lines are written. */
enum class LogFormat : std::uint8_t
{
    Text,
    Json
};

template <>
struct EnumNames<LogFormat>
{
    static constexpr std::array<std::string_view, 2> names{"text", "json"};
};

} // namespace bergamottide
