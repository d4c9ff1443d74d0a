#include "bergamottide/config/yamltree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace bergamottide {

namespace {

constexpr std::string_view plainTag = "?";
constexpr std::string_view quotedTag = "!";

/*! @brief Ends the parser's run; thrown and caught within this file. */
class Stop : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/*! @brief Builds the tree from the parser's events and stops at the first limit. */
class TreeBuilder final : public YAML::EventHandler
{
public:
    TreeBuilder(const YamlLimits &limits, IssueList &issues)
        : m_limits{limits}
        , m_issues{issues}
    {
    }

    void OnDocumentStart(const YAML::Mark &) override
    {
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        checkAnchor(mark, anchor);
        add(makeNode(YamlKind::Null, mark));
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        stop(mark, IssueKind::InvalidValue, "Aliases are not allowed.");
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                  const std::string &value) override
    {
        checkAnchor(mark, anchor);
        checkTag(mark, tag);
        YamlNode node = makeNode(YamlKind::Scalar, mark);
        node.plain = tag != quotedTag;
        node.text = value;
        add(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        open(mark, tag, anchor, YamlKind::Sequence);
    }

    void OnSequenceEnd() override
    {
        close();
    }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override
    {
        open(mark, tag, anchor, YamlKind::Map);
    }

    void OnMapEnd() override
    {
        close();
    }

    /*! @brief Returns the tree. */
    [[nodiscard]] YamlNode take()
    {
        return std::move(m_root);
    }

private:
    /*! @brief A collection that is being filled; a map alternates between keys and values. */
    struct Level
    {
        YamlNode node;
        YamlNode key;
        bool keyed{};
    };

    [[noreturn]] void stop(const YAML::Mark &mark, IssueKind kind, std::string reason)
    {
        m_issues.add(mark.line + 1, {}, kind, std::move(reason));
        throw Stop{"stopped"};
    }

    void checkAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != YAML::NullAnchor) {
            stop(mark, IssueKind::InvalidValue, "Anchors are not allowed.");
        }
    }

    void checkTag(const YAML::Mark &mark, const std::string &tag)
    {
        if (!tag.empty() && tag != plainTag && tag != quotedTag) {
            stop(mark, IssueKind::InvalidValue, "Tags are not allowed.");
        }
    }

    YamlNode makeNode(YamlKind kind, const YAML::Mark &mark)
    {
        if (++m_nodes > m_limits.nodes) {
            stop(mark, IssueKind::TooLarge,
                 "The text has more than " + std::to_string(m_limits.nodes) + " keys and values.");
        }
        YamlNode node;
        node.kind = kind;
        node.line = mark.line + 1;
        return node;
    }

    void open(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YamlKind kind)
    {
        checkAnchor(mark, anchor);
        checkTag(mark, tag);
        if (m_levels.size() >= m_limits.depth) {
            stop(mark, IssueKind::TooLarge,
                 "The text is nested deeper than " + std::to_string(m_limits.depth) + " levels.");
        }
        m_levels.push_back({makeNode(kind, mark), {}, false});
    }

    void close()
    {
        YamlNode node = std::move(m_levels.back().node);
        m_levels.pop_back();
        add(std::move(node));
    }

    void add(YamlNode node)
    {
        if (m_levels.empty()) {
            m_root = std::move(node);
            return;
        }
        Level &level = m_levels.back();
        if (level.node.kind == YamlKind::Sequence) {
            level.node.items.push_back(std::move(node));
            return;
        }
        if (!level.keyed) {
            level.key = std::move(node);
            level.keyed = true;
            return;
        }
        level.node.entries.push_back({std::exchange(level.key, {}), std::move(node)});
        level.keyed = false;
    }

    const YamlLimits &m_limits;
    IssueList &m_issues;
    std::vector<Level> m_levels;
    YamlNode m_root;
    std::size_t m_nodes{};
};

/*! @brief Runs the parser over one document; more than one is an issue. */
void parse(std::string_view text, TreeBuilder &builder, IssueList &issues)
{
    std::istringstream stream{std::string{text}};
    YAML::Parser parser{stream};
    if (!parser.HandleNextDocument(builder)) {
        issues.add(0, {}, IssueKind::Malformed, "The text is empty.");
        return;
    }
    TreeBuilder rest{builder};
    if (parser.HandleNextDocument(rest)) {
        issues.add(0, {}, IssueKind::Malformed, "The text holds more than one document.");
    }
}

void indexNode(const YamlNode &node, const std::string &path, LineIndex &lines, IssueList &issues)
{
    lines.emplace(path, node.line);
    for (std::size_t index = 0; index < node.items.size(); ++index) {
        indexNode(node.items[index], joinPath(path, index), lines, issues);
    }
    std::set<std::string_view> seen;
    for (const YamlEntry &entry : node.entries) {
        const std::string inner = joinPath(path, entry.key.text);
        if (!seen.insert(entry.key.text).second) {
            issues.add(entry.key.line, inner, IssueKind::Duplicate, "The key stands twice.");
            continue;
        }
        lines.emplace(inner, entry.key.line);
        indexNode(entry.value, inner, lines, issues);
    }
}

bool needsQuotes(std::string_view text)
{
    const auto safe = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-' || c == '/';
    };
    if (text.empty() || text.front() == '-' || text.front() == '.') {
        return true;
    }
    return text == "null" || text == "Null" || text == "NULL" || !std::all_of(text.begin(), text.end(), safe);
}

void appendEscaped(char c, std::string &out)
{
    if (c == '"' || c == '\\') {
        out += '\\';
        out += c;
        return;
    }
    if (static_cast<unsigned char>(c) >= 0x20) {
        out += c;
        return;
    }
    std::array<char, 5> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "\\x%02x", static_cast<unsigned char>(c));
    out += buffer.data();
}

} // namespace

const YamlNode *YamlNode::find(std::string_view key) const
{
    for (const YamlEntry &entry : entries) {
        if (entry.key.text == key) {
            return &entry.value;
        }
    }
    return nullptr;
}

YamlNode readYaml(std::string_view text, const YamlLimits &limits, IssueList &issues)
{
    if (text.size() > limits.bytes) {
        issues.add(0, {}, IssueKind::TooLarge, "The text is longer than " + std::to_string(limits.bytes) + " bytes.");
        return {};
    }
    TreeBuilder builder{limits, issues};
    try {
        parse(text, builder, issues);
    } catch (const YAML::Exception &error) {
        issues.add(error.mark.is_null() ? 0 : error.mark.line + 1, {}, IssueKind::Malformed, error.msg + ".");
        return {};
    } catch (const Stop &) {
        return {};
    }
    return builder.take();
}

void indexYaml(const YamlNode &root, LineIndex &lines, IssueList &issues)
{
    indexNode(root, {}, lines, issues);
}

int lineOf(const LineIndex &lines, std::string_view path)
{
    while (true) {
        const auto found = lines.find(path);
        if (found != lines.end()) {
            return found->second;
        }
        const auto end = path.find_last_of(".[");
        if (end == std::string_view::npos) {
            return 0;
        }
        path = path.substr(0, end);
    }
}

std::string yamlScalar(std::string_view text)
{
    if (!needsQuotes(text)) {
        return std::string{text};
    }
    std::string out{"\""};
    for (const char c : text) {
        appendEscaped(c, out);
    }
    return out + '"';
}

std::string joinPath(std::string_view path, std::string_view name)
{
    std::string joined{path};
    if (!joined.empty()) {
        joined += '.';
    }
    return joined.append(name);
}

std::string joinPath(std::string_view path, std::size_t index)
{
    return std::string{path} + '[' + std::to_string(index) + ']';
}

} // namespace bergamottide
