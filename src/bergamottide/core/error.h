#pragma once

#include "bergamottide/core/outcome.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace bergamottide {

/**
 * @brief Makes a typed error.
 * @param reason Type of the failure, other than `Reason::None`.
 * @param field Field, header or setting at fault; may be empty.
 * @param detail One short sentence for a person.
 * @return A status whose payload carries reason and field.
 */
[[nodiscard]] absl::Status makeError(Reason reason, std::string_view field, std::string_view detail);

/**
 * @brief Returns the type of an error.
 * @param status Any status.
 * @return Its reason; `None` when ok, `Internal` for a status not made by `makeError`.
 */
[[nodiscard]] Reason errorReason(const absl::Status &status);

/**
 * @brief Returns the field at fault.
 * @param status Any status.
 * @return The field, or an empty text.
 */
[[nodiscard]] std::string errorField(const absl::Status &status);

} // namespace bergamottide
