#include "bergamottide/config/parser.h"

#include "bergamottide/config/documentfields.h"
#include "bergamottide/config/references.h"
#include "bergamottide/config/section.h"

#include <utility>

namespace bergamottide {

namespace {

bool endsWithMarker(std::string_view yaml)
{
    const auto end = yaml.find_last_not_of(" \t\r\n");
    if (end == std::string_view::npos) {
        return false;
    }
    const std::string_view text = yaml.substr(0, end + 1);
    const auto lineStart = text.rfind('\n');
    return text.substr(lineStart == std::string_view::npos ? 0 : lineStart + 1) == "...";
}

template <typename Name, typename Record>
void readNamed(const YamlNode &node, const std::string &path, const FieldTable<Record> &table,
               std::map<Name, Record> &records, IssueList &issues)
{
    if (node.kind != YamlKind::Map) {
        issues.add(node.line, path, IssueKind::WrongType, "A map by name is expected.");
        return;
    }
    for (const YamlEntry &entry : node.entries) {
        const std::string inner = joinPath(path, entry.key.text);
        if (entry.key.kind != YamlKind::Scalar || !isName(entry.key.text)) {
            issues.add(entry.key.line, inner, IssueKind::OutOfRange,
                       "The name must have " + std::string{nameRange} + ".");
            continue;
        }
        const Name name{entry.key.text};
        const auto [record, added] = records.try_emplace(name);
        if (!added) {
            continue;
        }
        record->second.name = name;
        readRecord(entry.value, inner, table, record->second, issues);
    }
}

void readBindings(const YamlNode &node, const std::string &path, std::vector<Binding> &bindings, IssueList &issues)
{
    if (node.kind != YamlKind::Sequence) {
        issues.add(node.line, path, IssueKind::WrongType, "A list of bindings is expected.");
        return;
    }
    for (std::size_t index = 0; index < node.items.size(); ++index) {
        readRecord(node.items[index], joinPath(path, index), bindingFields(), bindings.emplace_back(), issues);
    }
}

/*! @brief Fields of the top level; the same readers as for any record. */
const FieldTable<Document> &documentFields()
{
    using Reader = void (*)(const YamlNode &, const std::string &, Document &, IssueList &);
    const auto field = [](const char *name, Presence presence, Reader read) {
        return Field<Document>{{name, {}, {}, presence, {}, {}}, read, {}};
    };
    constexpr auto optional = Presence::Optional;
    constexpr auto required = Presence::Required;
    static const FieldTable<Document> table{
        scalarField("version", &Document::version, wholeType<std::uint64_t>(1, UINT64_MAX), required, ""),
        field("pools", required,
              [](const YamlNode &node, const std::string &path, Document &document, IssueList &issues) {
                  readNamed(node, path, poolFields(), document.pools, issues);
              }),
        field("models", optional,
              [](const YamlNode &node, const std::string &path, Document &document, IssueList &issues) {
                  readNamed(node, path, modelFields(), document.models, issues);
              }),
        field("pipelines", required,
              [](const YamlNode &node, const std::string &path, Document &document, IssueList &issues) {
                  readNamed(node, path, pipelineFields(), document.pipelines, issues);
              }),
        field("kinds", optional,
              [](const YamlNode &node, const std::string &path, Document &document, IssueList &issues) {
                  readNamed(node, path, kindFields(), document.kinds, issues);
              }),
        field("workspaces", required,
              [](const YamlNode &node, const std::string &path, Document &document, IssueList &issues) {
                  readNamed(node, path, workspaceFields(), document.workspaces, issues);
              }),
        field("bindings", optional,
              [](const YamlNode &node, const std::string &path, Document &document, IssueList &issues) {
                  readBindings(node, path, document.bindings, issues);
              }),
        field("policy", optional,
              [](const YamlNode &node, const std::string &path, Document &document, IssueList &issues) {
                  readRecord(node, path, policyFields(), document.policy, issues);
              }),
    };
    return table;
}

} // namespace

ParseResult parseDocument(std::string_view yaml)
{
    IssueList issues;
    ParseResult result;
    const YamlNode root = readYaml(yaml, YamlLimits{}, issues);
    if (!issues.empty()) {
        result.issues = issues.take();
        return result;
    }
    if (!endsWithMarker(yaml)) {
        issues.add(0, {}, IssueKind::Truncated, "The last line must be '...'; the text may have been cut off.");
    }
    LineIndex lines;
    indexYaml(root, lines, issues);
    Document document;
    readRecord(root, {}, documentFields(), document, issues);
    checkReferences(document, lines, issues);
    if (!issues.empty()) {
        result.issues = issues.take();
        return result;
    }
    result.digest = documentDigest(document);
    result.document = std::move(document);
    return result;
}

} // namespace bergamottide
