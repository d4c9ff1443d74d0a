#include "bergamottide/console/console.h"

#include "bergamottide/config/documentfields.h"
#include "bergamottide/config/yamltree.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace bergamottide {

namespace {

using Json = nlohmann::ordered_json;

Json fieldJson(const FieldInfo &field)
{
    return {{"name", field.name},
            {"type", field.type},
            {"range", field.range},
            {"required", field.presence == Presence::Required},
            {"default", field.defaultText == "\"\"" ? std::string{} : field.defaultText},
            {"doc", field.doc}};
}

/*! @brief Writes a tree; scalars stay texts, and of a repeated key the first one counts, as for the reader. */
Json treeJson(const YamlNode &node)
{
    switch (node.kind) {
    case YamlKind::Null:
        return {};
    case YamlKind::Scalar:
        return node.text;
    case YamlKind::Sequence: {
        Json list = Json::array();
        for (const YamlNode &item : node.items) {
            list.push_back(treeJson(item));
        }
        return list;
    }
    case YamlKind::Map:
        break;
    }
    Json map = Json::object();
    for (const YamlEntry &entry : node.entries) {
        if (!map.contains(entry.key.text)) {
            map[entry.key.text] = treeJson(entry.value);
        }
    }
    return map;
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string schemaJson()
{
    Json sections = Json::array();
    for (const SectionInfo &section : sectionInfos()) {
        Json fields = Json::array();
        for (const FieldInfo &field : section.fields) {
            fields.push_back(fieldJson(field));
        }
        sections.push_back({{"name", section.name},
                            {"shape", enumName(section.shape)},
                            {"required", section.presence == Presence::Required},
                            {"doc", section.doc},
                            {"fields", std::move(fields)}});
    }
    return dump({{"sections", std::move(sections)}});
}

std::string readJson(std::string_view yaml)
{
    IssueList issues;
    const YamlNode root = readYaml(yaml, YamlLimits{}, issues);
    LineIndex lines;
    indexYaml(root, lines, issues);
    Json list = Json::array();
    for (const ConfigIssue &issue : issues.take()) {
        list.push_back(
            {{"line", issue.line}, {"path", issue.path}, {"kind", enumName(issue.kind)}, {"reason", issue.reason}});
    }
    return dump({{"document", root.kind == YamlKind::Map ? treeJson(root) : Json{}}, {"issues", std::move(list)}});
}

} // namespace bergamottide
