#pragma once

#include "bergamottide/core/enumnames.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief What is wrong with a place of a YAML file. */
enum class IssueKind : std::uint8_t
{
    /*! @brief The text is not YAML. */
    Malformed,
    /*! @brief The end marker is absent, so the text may have been cut off. */
    Truncated,
    /*! @brief The text is longer, deeper or has more parts than allowed. */
    TooLarge,
    UnknownField,
    MissingField,
    /*! @brief A key or a name stands twice. */
    Duplicate,
    /*! @brief A list, a map or a scalar stands where another of them is expected. */
    WrongType,
    /*! @brief The value cannot be read, for instance a duration without a unit. */
    InvalidValue,
    OutOfRange,
    /*! @brief The name refers to nothing. */
    UnknownReference,
    /*! @brief Fields that are right alone contradict each other. */
    Conflict
};

template <>
struct EnumNames<IssueKind>
{
    static constexpr std::array<std::string_view, 11> names{
        "malformed",  "truncated",     "too_large",    "unknown_field",     "missing_field", "duplicate",
        "wrong_type", "invalid_value", "out_of_range", "unknown_reference", "conflict"};
};

/*! @brief One error of a YAML file, located. */
struct ConfigIssue
{
    /*! @brief Line from one; zero if the error belongs to no line. */
    int line{};
    /*! @brief Path of the field, such as `pipelines.audit.stages[2].pool`; empty for the whole file. */
    std::string path;
    IssueKind kind{};
    /*! @brief One short sentence for a person. */
    std::string reason;

    [[nodiscard]] bool operator==(const ConfigIssue &) const = default;
};

/**
 * @brief Issues found so far, bounded.
 *
 * A hostile file of a megabyte can hold hundreds of thousands of errors; a person reads a
 * few. Past `limit` issues are counted, not kept.
 */
class IssueList
{
public:
    /*! @brief Issues kept at most. */
    static constexpr std::size_t limit = 1000;

    /**
     * @brief Adds an issue.
     * @param line Line from one; zero if it belongs to none.
     * @param path Path of the field.
     * @param kind What is wrong.
     * @param reason One short sentence.
     */
    void add(int line, std::string path, IssueKind kind, std::string reason);

    /*! @brief Tells if nothing is wrong. */
    [[nodiscard]] bool empty() const noexcept
    {
        return m_issues.empty();
    }

    /*! @brief Returns the issues in the order of their lines and leaves the list empty. */
    [[nodiscard]] std::vector<ConfigIssue> take();

private:
    std::vector<ConfigIssue> m_issues;
    std::size_t m_left{};
};

/**
 * @brief Writes an issue as one line of text.
 * @param issue Issue to write.
 * @return `line 12: pools.a.kind: unknown_field: reason`.
 */
[[nodiscard]] std::string issueText(const ConfigIssue &issue);

} // namespace bergamottide
