#pragma once

#include "bergamottide/config/units.h"
#include "bergamottide/config/yamltree.h"
#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/fwd.h"

#include <charconv>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamottide {

/**
 * @brief How a value is read from a scalar, checked and written back.
 * @tparam Value Type of the value.
 */
template <typename Value>
struct ValueType
{
    /*! @brief Name for a person, such as `duration`. */
    std::string name;
    /*! @brief Allowed values for a person, such as `1ms to 60s`; empty if any value will do. */
    std::string range;
    /*! @brief Reads a scalar; nothing if it is not of this type. */
    std::function<std::optional<Value>(const YamlNode &)> read;
    /*! @brief Tells if a value is allowed. */
    std::function<bool(const Value &)> allowed;
    /*! @brief Writes a value as a YAML scalar. */
    std::function<std::string(const Value &)> write;
};

/*! @brief Whole number from `low` to `high`. */
template <typename Value>
[[nodiscard]] ValueType<Value> wholeType(Value low, Value high)
{
    const auto read = [](const YamlNode &node) -> std::optional<Value> {
        Value value{};
        const char *const end = node.text.data() + node.text.size();
        const auto [rest, error] = std::from_chars(node.text.data(), end, value);
        return node.plain && error == std::errc{} && rest == end ? std::optional{value} : std::nullopt;
    };
    const auto allowed = [low, high](const Value &value) {
        return value >= low && value <= high;
    };
    const auto write = [](const Value &value) {
        return std::to_string(value);
    };
    return {"whole number", std::to_string(low) + " to " + std::to_string(high), read, allowed, write};
}

/*! @brief Number from `low` to `high`. */
[[nodiscard]] ValueType<double> numberType(double low, double high);

/*! @brief Duration with its unit, from `low` to `high`. */
[[nodiscard]] ValueType<Duration> durationType(Duration low, Duration high);

/*! @brief Size in bytes with its unit, from `low` to `high`. */
[[nodiscard]] ValueType<std::uint32_t> sizeType(std::uint32_t low, std::uint32_t high);

/*! @brief Size with its unit, kept in megabytes, from `low` to `high` megabytes. */
[[nodiscard]] ValueType<std::uint32_t> megabytesType(std::uint32_t low, std::uint32_t high);

/*! @brief `true` or `false`. */
[[nodiscard]] ValueType<bool> flagType();

/*! @brief `true` or `false` for a stage that may or may not be repeated. */
[[nodiscard]] ValueType<Repeatable> repeatableType();

/**
 * @brief Text that a predicate accepts.
 * @param name Name of the type for a person.
 * @param range What is accepted, for a person.
 * @param allowed Tells if a text is accepted.
 */
[[nodiscard]] ValueType<std::string> textType(std::string name, std::string range,
                                              std::function<bool(const std::string &)> allowed);

/*! @brief Lower case hexadecimal SHA-256 digest. */
[[nodiscard]] ValueType<std::string> digestType();

/*! @brief IP number and port, `ip:port` or `[ip]:port`; a name of a host is refused. */
[[nodiscard]] ValueType<std::string> addressType();

/*! @brief Tells if a text is a name: 1 to 64 letters, digits, dots, dashes or underscores, a letter or digit first. */
[[nodiscard]] bool isName(std::string_view text);

/*! @brief What `isName` accepts, for a person. */
inline constexpr std::string_view nameRange = "1 to 64 letters, digits, '.', '-' or '_', a letter or digit first";

/*! @brief Name of one kind of thing. */
template <typename NameType>
[[nodiscard]] ValueType<NameType> nameType()
{
    const auto read = [](const YamlNode &node) {
        return std::optional{NameType{node.text}};
    };
    const auto allowed = [](const NameType &name) {
        return isName(name.text());
    };
    const auto write = [](const NameType &name) {
        return yamlScalar(name.text());
    };
    return {"name", std::string{nameRange}, read, allowed, write};
}

/*! @brief One of the names of an enum class. */
template <typename Enum>
[[nodiscard]] ValueType<Enum> choiceType()
{
    std::string names;
    for (const std::string_view name : EnumNames<Enum>::names) {
        names.append(names.empty() ? "" : ", ").append(name);
    }
    const auto read = [](const YamlNode &node) {
        return enumFromName<Enum>(node.text);
    };
    const auto allowed = [](const Enum &) {
        return true;
    };
    const auto write = [](const Enum &value) {
        return std::string{enumName(value)};
    };
    return {"choice", names, read, allowed, write};
}

} // namespace bergamottide
