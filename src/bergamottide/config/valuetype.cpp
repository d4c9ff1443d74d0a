#include "bergamottide/config/valuetype.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace bergamottide {

namespace {

constexpr std::size_t longestName = 64;
constexpr std::size_t digestLength = 64;
constexpr std::uint32_t bytesPerMegabyte = 1'000'000;
constexpr unsigned long highestPort = 65535;

/*! @brief Makes the type of a value that is ordered and has a text. */
template <typename Value, typename Read, typename Write>
ValueType<Value> orderedType(std::string name, Value low, Value high, Read read, Write write)
{
    const auto allowed = [low, high](const Value &value) {
        return value >= low && value <= high;
    };
    return {std::move(name), write(low) + " to " + write(high), read, allowed, write};
}

std::optional<bool> readFlag(const YamlNode &node)
{
    if (node.plain && (node.text == "true" || node.text == "false")) {
        return node.text == "true";
    }
    return std::nullopt;
}

bool isLetterOrDigit(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0;
}

bool isIpNumber(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

bool isPort(std::string_view text)
{
    const auto digits = text.find_first_not_of("0123456789") == std::string_view::npos;
    return digits && !text.empty() && text.size() <= 5 && std::stoul(std::string{text}) <= highestPort;
}

bool isAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !isPort(std::string_view{text}.substr(colon + 1))) {
        return false;
    }
    std::string host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    // Without the brackets the port of an IPv6 number could not be told from its last group.
    return isIpNumber(host) && bracketed == (host.find(':') != std::string::npos);
}

} // namespace

ValueType<double> numberType(double low, double high)
{
    const auto read = [](const YamlNode &node) {
        return node.plain ? parseNumber(node.text) : std::nullopt;
    };
    return orderedType("number", low, high, read, formatNumber);
}

ValueType<Duration> durationType(Duration low, Duration high)
{
    const auto read = [](const YamlNode &node) {
        return parseDuration(node.text);
    };
    return orderedType("duration", low, high, read, formatDuration);
}

ValueType<std::uint32_t> sizeType(std::uint32_t low, std::uint32_t high)
{
    const auto read = [](const YamlNode &node) -> std::optional<std::uint32_t> {
        const auto bytes = parseSize(node.text);
        // A size beyond the type is beyond every range, too.
        return bytes ? std::optional{static_cast<std::uint32_t>(std::min<std::uint64_t>(*bytes, UINT32_MAX))}
                     : std::nullopt;
    };
    return orderedType("size", low, high, read, [](std::uint32_t bytes) { return formatSize(bytes); });
}

ValueType<std::uint32_t> megabytesType(std::uint32_t low, std::uint32_t high)
{
    const auto read = [](const YamlNode &node) -> std::optional<std::uint32_t> {
        const auto bytes = parseSize(node.text);
        if (!bytes || *bytes % bytesPerMegabyte != 0) {
            return std::nullopt;
        }
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(*bytes / bytesPerMegabyte, UINT32_MAX));
    };
    const auto write = [](std::uint32_t megabytes) {
        return formatSize(std::uint64_t{megabytes} * bytesPerMegabyte);
    };
    return orderedType("size in whole megabytes", low, high, read, write);
}

ValueType<bool> flagType()
{
    const auto allowed = [](const bool &) {
        return true;
    };
    const auto write = [](const bool &value) {
        return std::string{value ? "true" : "false"};
    };
    return {"flag", "true, false", readFlag, allowed, write};
}

ValueType<Repeatable> repeatableType()
{
    const auto read = [](const YamlNode &node) -> std::optional<Repeatable> {
        const auto flag = readFlag(node);
        return flag ? std::optional{Repeatable{*flag}} : std::nullopt;
    };
    const auto allowed = [](const Repeatable &) {
        return true;
    };
    const auto write = [](const Repeatable &value) {
        return std::string{value == Repeatable::Yes ? "true" : "false"};
    };
    return {"flag", "true, false", read, allowed, write};
}

ValueType<std::string> textType(std::string name, std::string range, std::function<bool(const std::string &)> allowed)
{
    const auto read = [](const YamlNode &node) {
        return std::optional{node.text};
    };
    const auto write = [](const std::string &text) {
        return yamlScalar(text);
    };
    return {std::move(name), std::move(range), read, std::move(allowed), write};
}

ValueType<std::string> digestType()
{
    const auto allowed = [](const std::string &text) {
        return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    };
    return textType("digest", "64 lower case hexadecimal digits (SHA-256)", allowed);
}

ValueType<std::string> addressType()
{
    return textType("address", "IP number and port, 'ip:port' or '[ip]:port'", isAddress);
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > longestName || !isLetterOrDigit(text.front())) {
        return false;
    }
    const auto part = [](char c) {
        return isLetterOrDigit(c) || c == '.' || c == '-' || c == '_';
    };
    return std::all_of(text.begin(), text.end(), part);
}

} // namespace bergamottide
