#include "bergamottide/config/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <span>

namespace bergamottide {

namespace {

/*! @brief Name of a unit and how many of the smallest unit it holds. */
struct Unit
{
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<Unit, 6> durationUnits{
    {{"d", 86'400'000'000}, {"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1000}, {"us", 1}}};

constexpr std::array<Unit, 7> sizeUnits{{{"GiB", 1ULL << 30U},
                                         {"GB", 1'000'000'000},
                                         {"MiB", 1ULL << 20U},
                                         {"MB", 1'000'000},
                                         {"KiB", 1ULL << 10U},
                                         {"kB", 1000},
                                         {"B", 1}}};

/*! @brief Largest value read: a double holds each whole number up to it. */
constexpr double largestValue = 9'007'199'254'740'992.0;

std::optional<std::uint64_t> parseWithUnit(std::string_view text, std::span<const Unit> units)
{
    const auto end = text.find_first_not_of("0123456789.");
    if (end == std::string_view::npos || end == 0) {
        return std::nullopt;
    }
    const auto number = parseNumber(text.substr(0, end));
    if (!number) {
        return std::nullopt;
    }
    for (const Unit &unit : units) {
        if (unit.name != text.substr(end)) {
            continue;
        }
        const double value = std::round(*number * static_cast<double>(unit.factor));
        return value <= largestValue ? std::optional{static_cast<std::uint64_t>(value)} : std::nullopt;
    }
    return std::nullopt;
}

std::string formatWithUnit(std::uint64_t value, std::span<const Unit> units)
{
    for (const Unit &unit : units) {
        if (value != 0 && value % unit.factor == 0) {
            return std::to_string(value / unit.factor).append(unit.name);
        }
    }
    return std::string{"0"}.append(units.back().name);
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto value = parseWithUnit(text, durationUnits);
    return value ? std::optional{Duration{static_cast<Duration::rep>(*value)}} : std::nullopt;
}

std::string formatDuration(Duration value)
{
    return formatWithUnit(static_cast<std::uint64_t>(value.count()), durationUnits);
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    return parseWithUnit(text, sizeUnits);
}

std::string formatSize(std::uint64_t bytes)
{
    return formatWithUnit(bytes, sizeUnits);
}

std::optional<double> parseNumber(std::string_view text)
{
    double value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return std::string{buffer.data(), result.ptr};
}

} // namespace bergamottide
