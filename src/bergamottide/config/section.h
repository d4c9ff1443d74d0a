#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/config/issue.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bergamottide {

/**
 * @file
 * @brief A document as canonical sections, the unit in which changes travel.
 *
 * A section is one named record: `pools/encoders`, `workspaces/acme`, the bindings of one
 * workspace `bindings/acme`, or `policy`. With 520 workspaces a change of one of them is a
 * hundred bytes or two instead of the whole document, which at 20 changes a second and 10 KB
 * a second for each process would not fit.
 */

/*! @brief Canonical text of a section by its name. */
using Sections = std::map<std::string, std::string, std::less<>>;

/*! @brief Digest (XXH3, 64 bits) of each section by its name. */
using SectionDigests = std::map<std::string, std::uint64_t, std::less<>>;

/**
 * @brief Writes a document as sections.
 *
 * The text depends on the values alone: comments, order and spelling of the published YAML
 * are gone, and fields with their default are left out.
 *
 * @param document Document to write.
 * @return Its sections.
 */
[[nodiscard]] Sections sectionsOf(const Document &document);

/**
 * @brief Replaces, adds or removes one section of a document.
 * @param name Name of the section.
 * @param text Canonical text; empty to remove the section.
 * @param document Document to change.
 * @param issues Receives what is wrong with the text or the name.
 */
void applySection(std::string_view name, std::string_view text, Document &document, IssueList &issues);

/*! @brief Returns the digest of the text of one section. */
[[nodiscard]] std::uint64_t sectionDigest(std::string_view text);

/*! @brief Returns the digest of each section. */
[[nodiscard]] SectionDigests sectionDigests(const Sections &sections);

/**
 * @brief Returns the digest of a whole document.
 *
 * It covers the version and the digest of each section, so that after a change of one
 * section only that one is digested anew.
 *
 * @param version Version of the document.
 * @param digests Digests of its sections.
 */
[[nodiscard]] std::uint64_t documentDigest(std::uint64_t version, const SectionDigests &digests);

/*! @brief Returns the digest of a document. */
[[nodiscard]] std::uint64_t documentDigest(const Document &document);

/**
 * @brief Writes a document as YAML that `parseDocument` reads back as the same document.
 * @param document Document to write.
 * @return Canonical YAML with the end marker.
 */
[[nodiscard]] std::string writeDocument(const Document &document);

} // namespace bergamottide
