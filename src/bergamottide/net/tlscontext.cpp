#include "bergamottide/net/tlscontext.h"

#include "bergamottide/core/error.h"

#include <h2o.h>

namespace bergamottide {

namespace {

absl::Status unreadable(std::string_view field)
{
    return makeError(Reason::Internal, field, "The file cannot be read or does not fit.");
}

TlsContext wrap(SSL_CTX *context)
{
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    return TlsContext{context, &SSL_CTX_free};
}

} // namespace

absl::StatusOr<TlsContext> makeServerContext(const TlsFiles &files, bool offersHttp2)
{
    TlsContext context = wrap(SSL_CTX_new(TLS_server_method()));
    if (SSL_CTX_use_certificate_chain_file(context.get(), files.certificate.c_str()) != 1) {
        return unreadable("tls.certificate");
    }
    if (SSL_CTX_use_PrivateKey_file(context.get(), files.key.c_str(), SSL_FILETYPE_PEM) != 1
        || SSL_CTX_check_private_key(context.get()) != 1) {
        return unreadable("tls.key");
    }
    if (offersHttp2) {
        h2o_ssl_register_alpn_protocols(context.get(), h2o_http2_alpn_protocols);
    }
    return context;
}

absl::StatusOr<TlsContext> makeClientContext(const std::string &authority)
{
    TlsContext context = wrap(SSL_CTX_new(TLS_client_method()));
    if (SSL_CTX_load_verify_locations(context.get(), authority.c_str(), nullptr) != 1) {
        return unreadable("tls.authority");
    }
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER, nullptr);
    return context;
}

} // namespace bergamottide
