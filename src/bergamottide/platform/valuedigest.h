#pragma once

#include "bergamottide/net/http.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief Header in which the platform sends the digest of a value. */
inline constexpr std::string_view digestHeader = "x-digest";

/**
 * @brief Returns the digest of a value as the platform writes it.
 * @param value Bytes of the value.
 * @return XXH3, 64 bits, as 16 lower case hexadecimal digits.
 */
[[nodiscard]] std::string valueDigest(std::string_view value);

/**
 * @brief Checks a value against the digest sent with it.
 *
 * A value cut short on its way can still be a valid document that lacks its last sections;
 * only the digest tells.
 *
 * @param answer Answer with the value.
 * @return Ok if it matches or none was sent, `Reason::MalformedBody` otherwise.
 */
[[nodiscard]] absl::Status checkDigest(const HttpAnswer &answer);

} // namespace bergamottide
