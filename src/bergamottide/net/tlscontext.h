#pragma once

#include "bergamottide/net/httpserver.h"

#include <absl/status/statusor.h>
#include <openssl/ssl.h>

#include <memory>

namespace bergamottide {

/*! @brief Context of OpenSSL, shared by the connections made with it. */
using TlsContext = std::shared_ptr<SSL_CTX>;

/**
 * @brief Makes the context of a server that offers HTTP/2 and HTTP/1.1.
 * @param files Certificate and key, PEM.
 * @return The context, or an error that names the file at fault, never its content.
 */
[[nodiscard]] absl::StatusOr<TlsContext> makeServerContext(const TlsFiles &files);

/**
 * @brief Makes the context of a client.
 * @param authority File of the certificates that sign servers, PEM.
 * @return The context, or an error that names the file at fault.
 */
[[nodiscard]] absl::StatusOr<TlsContext> makeClientContext(const std::string &authority);

} // namespace bergamottide
