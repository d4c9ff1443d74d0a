#pragma once

#include <string>

namespace bergamottide {

/*! @brief Writes the reference of the configuration document as Markdown, from the tables of its fields. */
[[nodiscard]] std::string documentReference();

/*! @brief Writes the reference of the settings as Markdown, from the table of their fields. */
[[nodiscard]] std::string settingsReference();

} // namespace bergamottide
