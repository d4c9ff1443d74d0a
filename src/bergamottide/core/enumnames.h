#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace bergamottide {

/**
 * @brief Table of the names of an enum class, in the order of its values.
 *
 * Specializations hold a `constexpr std::array<std::string_view, N> names`. The
 * enumerators count from zero without gaps, the table has one name for each.
 *
 * @tparam Enum Enum class the table belongs to.
 */
template <typename Enum>
struct EnumNames;

/**
 * @brief Returns the name of an enumerator.
 * @tparam Enum Enum class with a table of names.
 * @param value Enumerator to name.
 * @return Its name, or `invalid` for a value outside of the table.
 */
template <typename Enum>
[[nodiscard]] constexpr std::string_view enumName(Enum value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < EnumNames<Enum>::names.size() ? EnumNames<Enum>::names[index] : std::string_view{"invalid"};
}

/**
 * @brief Finds the enumerator of a name.
 * @tparam Enum Enum class with a table of names.
 * @param name Name to look up, compared as it stands.
 * @return The enumerator, or nothing if no enumerator has that name.
 */
template <typename Enum>
[[nodiscard]] constexpr std::optional<Enum> enumFromName(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < EnumNames<Enum>::names.size(); ++index) {
        if (EnumNames<Enum>::names[index] == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace bergamottide
