#pragma once

#include "bergamottide/net/httpserver.h"

#include <absl/status/statusor.h>
#include <openssl/ssl.h>

#include <memory>

namespace bergamottide {

/*! @brief Context of OpenSSL, shared by the connections made with it. */
using TlsContext = std::shared_ptr<SSL_CTX>;

/**
 * @brief Makes the context of a server.
 * @param files Certificate and key, PEM.
 * @param offersHttp2 Whether HTTP/2 is offered beside HTTP/1.1.
 * @return The context, or an error that names the file at fault, never its content.
 */
[[nodiscard]] absl::StatusOr<TlsContext> makeServerContext(const TlsFiles &files, bool offersHttp2);

/**
 * @brief Makes the context of a client.
 * @param authority File of the certificates that sign servers, PEM.
 * @return The context, or an error that names the file at fault.
 */
[[nodiscard]] absl::StatusOr<TlsContext> makeClientContext(const std::string &authority);

} // namespace bergamottide
