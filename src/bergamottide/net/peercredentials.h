#pragma once

#include "bergamottide/net/httpserver.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace bergamottide::internal {

/**
 * @brief Makes the credentials of a process that accepts streams.
 * @param files Certificate, key and authority, PEM; read again as they change. Empty for plain text.
 * @return Credentials that demand a certificate signed by the authority.
 */
[[nodiscard]] std::shared_ptr<grpc::ServerCredentials> serverCredentials(const TlsFiles &files);

/**
 * @brief Makes the credentials of a process that opens streams.
 * @param files As for `serverCredentials`.
 * @return Credentials; the peer's certificate is verified against the authority, not against a host
 * name, for processes are addressed by IP number.
 */
[[nodiscard]] std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const TlsFiles &files);

} // namespace bergamottide::internal
