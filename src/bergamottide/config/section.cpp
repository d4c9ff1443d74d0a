#include "bergamottide/config/section.h"

#include "bergamottide/config/documentfields.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Sections are small; the same limits as for a whole text hold the rest off. */
constexpr YamlLimits sectionLimits{};

template <typename Name, typename Record>
void writeNamed(std::string_view section, const std::map<Name, Record> &records, const FieldTable<Record> &table,
                Sections &out)
{
    for (const auto &[name, record] : records) {
        out.emplace(std::string{section} + '/' + name.text(), writeRecord(record, table));
    }
}

void writeBindings(const std::vector<Binding> &bindings, Sections &out)
{
    for (const Binding &binding : bindings) {
        std::string &text = out["bindings/" + binding.workspace.text()];
        text += (text.empty() ? "[" : ", ") + writeRecord(binding, bindingFields());
    }
    for (auto section = out.lower_bound("bindings/"); section != out.end(); ++section) {
        if (!section->first.starts_with("bindings/")) {
            break;
        }
        section->second += ']';
    }
}

template <typename Name, typename Record>
void applyNamed(const std::string &path, std::string_view key, const YamlNode *node, const FieldTable<Record> &table,
                std::map<Name, Record> &records, IssueList &issues)
{
    const Name name{std::string{key}};
    if (node == nullptr) {
        records.erase(name);
        return;
    }
    Record record;
    record.name = name;
    readRecord(*node, path, table, record, issues);
    records.insert_or_assign(name, std::move(record));
}

void applyBindings(const std::string &path, std::string_view key, const YamlNode *node, std::vector<Binding> &bindings,
                   IssueList &issues)
{
    std::erase_if(bindings, [key](const Binding &binding) { return binding.workspace.text() == key; });
    if (node == nullptr) {
        return;
    }
    for (std::size_t index = 0; index < node->items.size(); ++index) {
        Binding &binding = bindings.emplace_back();
        const std::string inner = joinPath(path, index);
        readRecord(node->items[index], inner, bindingFields(), binding, issues);
        if (binding.workspace.text() != key) {
            issues.add(0, inner, IssueKind::Conflict, "The binding belongs to another section.");
        }
    }
}

void applyPolicy(const std::string &path, const YamlNode *node, Policy &policy, IssueList &issues)
{
    policy = {};
    if (node != nullptr) {
        readRecord(*node, path, policyFields(), policy, issues);
    }
}

/*! @brief Applies a section whose text has been read; `node` is null to remove it. */
void applyNode(const std::string &path, const YamlNode *node, Document &document, IssueList &issues)
{
    const auto slash = path.find('/');
    const std::string section = path.substr(0, slash);
    const std::string key = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
    if (section == "policy" && slash == std::string::npos) {
        applyPolicy(path, node, document.policy, issues);
        return;
    }
    if (!isName(key)) {
        issues.add(0, path, IssueKind::UnknownField, "There is no such section.");
        return;
    }
    if (section == "pools") {
        applyNamed(path, key, node, poolFields(), document.pools, issues);
    } else if (section == "models") {
        applyNamed(path, key, node, modelFields(), document.models, issues);
    } else if (section == "pipelines") {
        applyNamed(path, key, node, pipelineFields(), document.pipelines, issues);
    } else if (section == "kinds") {
        applyNamed(path, key, node, kindFields(), document.kinds, issues);
    } else if (section == "workspaces") {
        applyNamed(path, key, node, workspaceFields(), document.workspaces, issues);
    } else if (section == "bindings") {
        applyBindings(path, key, node, document.bindings, issues);
    } else {
        issues.add(0, path, IssueKind::UnknownField, "There is no such section.");
    }
}

void appendNumber(std::uint64_t value, std::string &out)
{
    for (int byte = 0; byte < 8; ++byte) {
        out += static_cast<char>((value >> (8 * byte)) & 0xffU);
    }
}

} // namespace

Sections sectionsOf(const Document &document)
{
    Sections sections;
    writeNamed("pools", document.pools, poolFields(), sections);
    writeNamed("models", document.models, modelFields(), sections);
    writeNamed("pipelines", document.pipelines, pipelineFields(), sections);
    writeNamed("kinds", document.kinds, kindFields(), sections);
    writeNamed("workspaces", document.workspaces, workspaceFields(), sections);
    writeBindings(document.bindings, sections);
    std::string policy = writeRecord(document.policy, policyFields());
    if (policy != "{}") {
        sections.emplace("policy", std::move(policy));
    }
    return sections;
}

void applySection(std::string_view name, std::string_view text, Document &document, IssueList &issues)
{
    const std::string path{name};
    if (text.empty()) {
        applyNode(path, nullptr, document, issues);
        return;
    }
    IssueList unread;
    const YamlNode node = readYaml(text, sectionLimits, unread);
    for (const ConfigIssue &issue : unread.take()) {
        issues.add(issue.line, path, issue.kind, issue.reason);
    }
    applyNode(path, &node, document, issues);
}

std::uint64_t sectionDigest(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

SectionDigests sectionDigests(const Sections &sections)
{
    SectionDigests digests;
    for (const auto &[name, text] : sections) {
        digests.emplace_hint(digests.end(), name, sectionDigest(text));
    }
    return digests;
}

std::uint64_t documentDigest(std::uint64_t version, const SectionDigests &digests)
{
    std::string bytes;
    appendNumber(version, bytes);
    for (const auto &[name, digest] : digests) {
        // A name holds no zero byte, so that no two lists of sections give the same bytes.
        bytes.append(name).append(1, '\0');
        appendNumber(digest, bytes);
    }
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t documentDigest(const Document &document)
{
    return documentDigest(document.version, sectionDigests(sectionsOf(document)));
}

std::string writeDocument(const Document &document)
{
    std::string out = "version: " + std::to_string(document.version) + '\n';
    std::string open;
    for (const auto &[name, text] : sectionsOf(document)) {
        const auto slash = name.find('/');
        const std::string section = name.substr(0, slash);
        if (slash == std::string::npos) {
            out.append(section).append(": ").append(text).append("\n");
            continue;
        }
        if (section != open) {
            out.append(section).append(":\n");
            open = section;
        }
        if (section == "bindings") {
            for (const Binding &binding : document.bindings) {
                if (binding.workspace.text() == name.substr(slash + 1)) {
                    out.append("  - ").append(writeRecord(binding, bindingFields())).append("\n");
                }
            }
            continue;
        }
        out.append("  ").append(yamlScalar(name.substr(slash + 1))).append(": ").append(text).append("\n");
    }
    return out + "...\n";
}

} // namespace bergamottide
