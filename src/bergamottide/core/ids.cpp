#include "bergamottide/core/ids.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace bergamottide {

namespace {

constexpr std::size_t digitsPerHalf = 16;

std::optional<std::uint64_t> parseHalf(std::string_view text)
{
    std::uint64_t value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string RequestId::text() const
{
    std::array<char, 2 * digitsPerHalf + 1> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016" PRIx64 "%016" PRIx64, high, low);
    return std::string{buffer.data(), 2 * digitsPerHalf};
}

std::optional<RequestId> RequestId::parse(std::string_view text)
{
    if (text.size() != 2 * digitsPerHalf) {
        return std::nullopt;
    }
    const auto high = parseHalf(text.substr(0, digitsPerHalf));
    const auto low = parseHalf(text.substr(digitsPerHalf));
    if (!high || !low) {
        return std::nullopt;
    }
    return RequestId{*high, *low};
}

} // namespace bergamottide
