#pragma once

#include "bergamottide/net/http.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief Response header that carries the digest of a value. */
inline constexpr std::string_view digestHeader = "x-digest";

/**
 * @brief Returns the digest of a value in the platform's format.
 * @param value Bytes of the value.
 * @return 64-bit XXH3 as 16 lowercase hexadecimal digits.
 */
[[nodiscard]] std::string valueDigest(std::string_view value);

/**
 * @brief Verifies the body of a response against the digest in its header.
 *
 * Detects truncation: a truncated YAML document can still be a valid one.
 *
 * @param answer Response with the value.
 * @return Ok if the digest matches or is absent, `Reason::MalformedBody` otherwise.
 */
[[nodiscard]] absl::Status checkDigest(const HttpResponse &answer);

} // namespace bergamottide
