#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/config/issue.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bergamottide {

/*! @brief Outcome of reading a document: the document, or every error. */
struct ParseResult
{
    /*! @brief Present only if there is no issue. */
    std::optional<Document> document;
    std::vector<ConfigIssue> issues;
    /*! @brief Digest of the document (`documentDigest`); zero after an issue. */
    std::uint64_t digest{};
};

/**
 * @brief Reads and validates a configuration document.
 *
 * Every error is found at once. The text must end with the YAML end marker, a line of three
 * dots: a text that was cut off can be valid YAML, with workspaces missing, and would take
 * them out of service.
 *
 * @param yaml Text of at most a megabyte.
 * @return The document with its digest, or the issues in the order of their lines.
 */
[[nodiscard]] ParseResult parseDocument(std::string_view yaml);

} // namespace bergamottide
