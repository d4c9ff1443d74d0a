#pragma once

#include <string>
#include <string_view>

namespace bergamottide {

/**
 * @brief Returns the console of forms: one page without any further file.
 *
 * Made from page.html by scripts/generate-console.sh.
 */
[[nodiscard]] std::string_view consolePage();

/*! @brief Describes the sections and fields of the document as JSON, from which the page makes its forms. */
[[nodiscard]] std::string schemaJson();

/**
 * @brief Reads the text of a document into JSON, valid or not, so that the forms can show it.
 * @param yaml Text from an operator.
 * @return `document`, null if the text is not YAML, and `issues` with what hindered the reading.
 */
[[nodiscard]] std::string readJson(std::string_view yaml);

} // namespace bergamottide
