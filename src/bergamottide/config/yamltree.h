#pragma once

#include "bergamottide/config/issue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide {

/*! @brief Kind of a node. */
enum class YamlKind : std::uint8_t
{
    Null,
    Scalar,
    Sequence,
    Map
};

struct YamlEntry;

/*! @brief One node of a YAML text, with its line. */
struct YamlNode
{
    YamlKind kind{};
    /*! @brief Line from one. */
    int line{};
    /*! @brief The scalar was written without quotes, so that it may be a number. */
    bool plain{};
    /*! @brief Text of a scalar. */
    std::string text;
    /*! @brief Items of a sequence. */
    std::vector<YamlNode> items;
    /*! @brief Entries of a map in the order of the text, with repeated keys. */
    std::vector<YamlEntry> entries;

    /**
     * @brief Finds an entry of a map.
     * @param key Key to look for.
     * @return The first value of that key, or null.
     */
    [[nodiscard]] const YamlNode *find(std::string_view key) const;
};

/*! @brief Key and value of a map. */
struct YamlEntry
{
    YamlNode key;
    YamlNode value;
};

/*! @brief Limits of a YAML text. */
struct YamlLimits
{
    /*! @brief The configuration service holds values up to a megabyte. */
    std::size_t bytes{1U << 20U};
    /*! @brief The deepest field of a document is six levels down. */
    std::size_t depth{16};
    /*! @brief Three times the nodes that 1,000 workspaces with their bindings have. */
    std::size_t nodes{100'000};
};

/*! @brief Line of each path of a tree. */
using LineIndex = std::map<std::string, int, std::less<>>;

/**
 * @brief Reads one YAML document into a tree.
 *
 * Anchors, aliases and tags are refused: they make the size of the tree independent of the
 * size of the text (alias bombs), and no field needs them.
 *
 * @param text Text to read.
 * @param limits Limits of the text.
 * @param issues Receives what is wrong.
 * @return The tree; a null node after an issue that ends the reading.
 */
[[nodiscard]] YamlNode readYaml(std::string_view text, const YamlLimits &limits, IssueList &issues);

/**
 * @brief Records the line of each path and reports keys that stand twice.
 * @param root Tree to walk.
 * @param lines Receives the line of each path.
 * @param issues Receives one issue for each repeated key.
 */
void indexYaml(const YamlNode &root, LineIndex &lines, IssueList &issues);

/**
 * @brief Looks up the line of a path, or of its nearest parent that has one.
 * @param lines Lines by path.
 * @param path Path to look up.
 * @return Line from one; zero if neither the path nor a parent of it is known.
 */
[[nodiscard]] int lineOf(const LineIndex &lines, std::string_view path);

/**
 * @brief Writes a text as a YAML scalar, in double quotes where it needs them.
 * @param text Text to write.
 * @return The scalar on one line.
 */
[[nodiscard]] std::string yamlScalar(std::string_view text);

/*! @brief Joins a path and the name of a field. */
[[nodiscard]] std::string joinPath(std::string_view path, std::string_view name);

/*! @brief Joins a path and the position of an item. */
[[nodiscard]] std::string joinPath(std::string_view path, std::size_t index);

} // namespace bergamottide
