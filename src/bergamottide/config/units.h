#pragma once

#include "bergamottide/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamottide {

/**
 * @brief Reads a duration with its unit: `us`, `ms`, `s`, `m`, `h` or `d`.
 * @param text Text such as `250ms` or `1.5s`; not negative.
 * @return The duration, or nothing if the number or the unit is absent, unknown or too large.
 */
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text);

/**
 * @brief Writes a duration with the largest unit that divides it.
 * @param value Duration, not negative.
 * @return Text that `parseDuration` reads back as the same value.
 */
[[nodiscard]] std::string formatDuration(Duration value);

/**
 * @brief Reads a size with its unit: `B`, `kB`, `MB`, `GB` (powers of 1000) or `KiB`, `MiB`, `GiB` (powers of 1024).
 * @param text Text such as `4MiB`; not negative.
 * @return The size in bytes, or nothing if the number or the unit is absent, unknown or too large.
 */
[[nodiscard]] std::optional<std::uint64_t> parseSize(std::string_view text);

/**
 * @brief Writes a size with the largest unit that divides it.
 * @param bytes Size in bytes.
 * @return Text that `parseSize` reads back as the same value.
 */
[[nodiscard]] std::string formatSize(std::uint64_t bytes);

/**
 * @brief Reads a number: digits, optionally with a fraction and an exponent.
 * @param text Whole text of the number.
 * @return The number, or nothing if the text is anything else or not finite.
 */
[[nodiscard]] std::optional<double> parseNumber(std::string_view text);

/**
 * @brief Writes a number with the fewest digits that read back as the same value.
 * @param value Finite number.
 */
[[nodiscard]] std::string formatNumber(double value);

} // namespace bergamottide
