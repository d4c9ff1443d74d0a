#pragma once

#include "bergamottide/config/issue.h"
#include "bergamottide/config/valuetype.h"
#include "bergamottide/config/yamltree.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Characters of a wrong value that an issue quotes at most. */
inline constexpr std::size_t longestQuote = 40;

/*! @brief Whether a field must be there. */
enum class Presence : bool
{
    Optional,
    Required
};

/*! @brief What the reference pages say about one field. */
struct FieldInfo
{
    std::string name;
    std::string type;
    std::string range;
    Presence presence{};
    /*! @brief Text of the default; empty for a required field. */
    std::string defaultText;
    /*! @brief One sentence. */
    std::string doc;
};

/**
 * @brief One field of a record: its description, and how it is read and written.
 * @tparam Record Type the field belongs to.
 */
template <typename Record>
struct Field
{
    FieldInfo info;
    /*! @brief Reads the value at a path into the record, or adds issues. */
    std::function<void(const YamlNode &node, const std::string &path, Record &record, IssueList &issues)> read;
    /*! @brief Writes the value of a record as YAML in flow style. */
    std::function<std::string(const Record &record)> write;
};

/*! @brief Every field of a record, in the order of the reference page. */
template <typename Record>
using FieldTable = std::vector<Field<Record>>;

/**
 * @brief Reads one scalar and checks it.
 * @param node Node to read.
 * @param path Path of the field.
 * @param type How the value is read.
 * @param issues Receives what is wrong.
 * @return The value, or nothing after an issue.
 */
template <typename Value>
[[nodiscard]] std::optional<Value> readValue(const YamlNode &node, const std::string &path,
                                             const ValueType<Value> &type, IssueList &issues)
{
    if (node.kind != YamlKind::Scalar) {
        issues.add(node.line, path, IssueKind::WrongType, "A " + type.name + " is expected.");
        return std::nullopt;
    }
    auto value = type.read(node);
    if (!value) {
        issues.add(node.line, path, IssueKind::InvalidValue,
                   "'" + node.text.substr(0, longestQuote) + "' is not a " + type.name + " (" + type.range + ").");
        return std::nullopt;
    }
    if (!type.allowed(*value)) {
        issues.add(node.line, path, IssueKind::OutOfRange,
                   "'" + node.text.substr(0, longestQuote) + "' is not allowed (" + type.range + ").");
        return std::nullopt;
    }
    return value;
}

/**
 * @brief Makes a field of one scalar.
 * @param name Name in the file.
 * @param member Member that holds the value; its initial value is the default.
 * @param type How the value is read.
 * @param presence Whether the field must be there.
 * @param doc One sentence for the reference page.
 */
template <typename Record, typename Value>
[[nodiscard]] Field<Record> scalarField(std::string name, Value Record::*member, ValueType<Value> type,
                                        Presence presence, std::string doc)
{
    const std::string standard = presence == Presence::Required ? std::string{} : type.write(Record{}.*member);
    FieldInfo info{std::move(name), type.name, type.range, presence, standard, std::move(doc)};
    const auto read = [member, type](const YamlNode &node, const std::string &path, Record &record, IssueList &issues) {
        if (auto value = readValue(node, path, type, issues)) {
            record.*member = std::move(*value);
        }
    };
    const auto write = [member, type](const Record &record) {
        return type.write(record.*member);
    };
    return {std::move(info), read, write};
}

/**
 * @brief Makes a field of a list of scalars without repetition.
 * @param name Name in the file.
 * @param member Member that holds the list.
 * @param type How one value is read.
 * @param most Longest list.
 * @param doc One sentence for the reference page.
 */
template <typename Record, typename Value>
[[nodiscard]] Field<Record> listField(std::string name, std::vector<Value> Record::*member, ValueType<Value> type,
                                      std::size_t most, std::string doc)
{
    FieldInfo info{std::move(name),
                   "list of " + type.name,
                   type.range + "; at most " + std::to_string(most),
                   Presence::Optional,
                   "[]",
                   std::move(doc)};
    const auto read = [member, type, most](const YamlNode &node, const std::string &path, Record &record,
                                           IssueList &issues) {
        if (node.kind != YamlKind::Sequence) {
            issues.add(node.line, path, IssueKind::WrongType, "A list is expected.");
            return;
        }
        if (node.items.size() > most) {
            issues.add(node.line, path, IssueKind::OutOfRange,
                       "The list has more than " + std::to_string(most) + " items.");
        }
        std::set<std::string> seen;
        for (std::size_t index = 0; index < node.items.size(); ++index) {
            const YamlNode &item = node.items[index];
            auto value = readValue(item, joinPath(path, index), type, issues);
            if (!value) {
                continue;
            }
            if (!seen.insert(item.text).second) {
                issues.add(item.line, joinPath(path, index), IssueKind::Duplicate, "The value stands twice.");
                continue;
            }
            (record.*member).push_back(std::move(*value));
        }
    };
    const auto write = [member, type](const Record &record) {
        std::string text;
        for (const Value &value : record.*member) {
            text += (text.empty() ? "" : ", ") + type.write(value);
        }
        return '[' + text + ']';
    };
    return {std::move(info), read, write};
}

/**
 * @brief Makes a field of a map from scalars to scalars.
 * @param name Name in the file.
 * @param member Member that holds the map.
 * @param keyType How a key is read.
 * @param type How a value is read.
 * @param most Largest map.
 * @param doc One sentence for the reference page.
 */
template <typename Record, typename Key, typename Value>
[[nodiscard]] Field<Record> mapField(std::string name, std::map<Key, Value> Record::*member, ValueType<Key> keyType,
                                     ValueType<Value> type, std::size_t most, std::string doc)
{
    FieldInfo info{std::move(name),
                   "map of " + type.name,
                   type.range + "; at most " + std::to_string(most),
                   Presence::Optional,
                   "{}",
                   std::move(doc)};
    const auto read = [member, keyType, type, most](const YamlNode &node, const std::string &path, Record &record,
                                                    IssueList &issues) {
        if (node.kind != YamlKind::Map) {
            issues.add(node.line, path, IssueKind::WrongType, "A map is expected.");
            return;
        }
        if (node.entries.size() > most) {
            issues.add(node.line, path, IssueKind::OutOfRange,
                       "The map has more than " + std::to_string(most) + " entries.");
        }
        for (const YamlEntry &entry : node.entries) {
            const std::string entryPath = joinPath(path, entry.key.text);
            auto key = readValue(entry.key, entryPath, keyType, issues);
            auto value = readValue(entry.value, entryPath, type, issues);
            if (key && value) {
                (record.*member).insert_or_assign(std::move(*key), std::move(*value));
            }
        }
    };
    const auto write = [member, keyType, type](const Record &record) {
        std::string text;
        for (const auto &[key, value] : record.*member) {
            text += (text.empty() ? "" : ", ") + keyType.write(key) + ": " + type.write(value);
        }
        return '{' + text + '}';
    };
    return {std::move(info), read, write};
}

/**
 * @brief Reads the fields of a map into a record.
 * @param node Node to read.
 * @param path Path of the record.
 * @param table Fields of the record.
 * @param record Receives the values; a field with an issue keeps its default.
 * @param issues Receives what is wrong. Repeated keys are reported by `indexYaml`, here the first one counts.
 */
template <typename Record>
void readRecord(const YamlNode &node, const std::string &path, const FieldTable<Record> &table, Record &record,
                IssueList &issues)
{
    if (node.kind != YamlKind::Map) {
        issues.add(node.line, path, IssueKind::WrongType, "A map of fields is expected.");
        return;
    }
    for (const YamlEntry &entry : node.entries) {
        const auto named = [&entry](const Field<Record> &field) {
            return field.info.name == entry.key.text;
        };
        if (std::none_of(table.begin(), table.end(), named)) {
            issues.add(entry.key.line, joinPath(path, entry.key.text), IssueKind::UnknownField,
                       "There is no such field here.");
        }
    }
    for (const Field<Record> &field : table) {
        const YamlNode *value = node.find(field.info.name);
        if (value != nullptr) {
            field.read(*value, joinPath(path, field.info.name), record, issues);
            continue;
        }
        if (field.info.presence == Presence::Required) {
            issues.add(node.line, joinPath(path, field.info.name), IssueKind::MissingField, "The field is required.");
        }
    }
}

/**
 * @brief Writes a record in flow style without the fields that have their default.
 *
 * Defaults are left out so that a build with another default writes the same text.
 *
 * @param record Record to write.
 * @param table Fields of the record.
 * @return `{name: value, …}` on one line.
 */
template <typename Record>
[[nodiscard]] std::string writeRecord(const Record &record, const FieldTable<Record> &table)
{
    std::string text;
    for (const Field<Record> &field : table) {
        std::string value = field.write(record);
        if (field.info.presence == Presence::Optional && value == field.info.defaultText) {
            continue;
        }
        text += (text.empty() ? "" : ", ") + field.info.name + ": " + value;
    }
    return '{' + text + '}';
}

/**
 * @brief Makes a field of a list of records.
 * @param name Name in the file.
 * @param member Member that holds the list.
 * @param table Fields of one record.
 * @param least Shortest list.
 * @param most Longest list.
 * @param doc One sentence for the reference page.
 */
template <typename Record, typename Item>
[[nodiscard]] Field<Record> recordsField(std::string name, std::vector<Item> Record::*member,
                                         const FieldTable<Item> &table, std::size_t least, std::size_t most,
                                         std::string doc)
{
    const std::string range = std::to_string(least) + " to " + std::to_string(most) + " items";
    FieldInfo info{std::move(name), "list of maps", range, Presence::Required, {}, std::move(doc)};
    const auto read = [member, &table, least, most, range](const YamlNode &node, const std::string &path,
                                                           Record &record, IssueList &issues) {
        if (node.kind != YamlKind::Sequence) {
            issues.add(node.line, path, IssueKind::WrongType, "A list of maps is expected.");
            return;
        }
        if (node.items.size() < least || node.items.size() > most) {
            issues.add(node.line, path, IssueKind::OutOfRange, "The list must have " + range + ".");
        }
        for (std::size_t index = 0; index < node.items.size(); ++index) {
            readRecord(node.items[index], joinPath(path, index), table, (record.*member).emplace_back(), issues);
        }
    };
    const auto write = [member, &table](const Record &record) {
        std::string text;
        for (const Item &item : record.*member) {
            text += (text.empty() ? "" : ", ") + writeRecord(item, table);
        }
        return '[' + text + ']';
    };
    return {std::move(info), read, write};
}

/*! @brief Returns the descriptions of a table. */
template <typename Record>
[[nodiscard]] std::vector<FieldInfo> fieldInfos(const FieldTable<Record> &table)
{
    std::vector<FieldInfo> infos;
    for (const Field<Record> &field : table) {
        infos.push_back(field.info);
    }
    return infos;
}

} // namespace bergamottide
