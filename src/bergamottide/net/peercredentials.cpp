#include "bergamottide/net/peercredentials.h"

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace bergamottide::internal {

namespace {

namespace tls = grpc::experimental;

/*! @brief Period in which changed certificate files are noticed, in seconds. */
constexpr unsigned int refreshSeconds = 2;

std::shared_ptr<tls::CertificateProviderInterface> provider(const TlsFiles &files)
{
    return std::make_shared<tls::FileWatcherCertificateProvider>(files.key, files.certificate, files.authority,
                                                                 refreshSeconds);
}

} // namespace

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const TlsFiles &files)
{
    if (files.empty()) {
        return grpc::InsecureServerCredentials();
    }
    tls::TlsServerCredentialsOptions options{provider(files)};
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return tls::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const TlsFiles &files)
{
    if (files.empty()) {
        return grpc::InsecureChannelCredentials();
    }
    tls::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(provider(files));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_verify_server_certs(true);
    options.set_check_call_host(false);
    options.set_certificate_verifier(std::make_shared<tls::NoOpCertificateVerifier>());
    return tls::TlsCredentials(options);
}

} // namespace bergamottide::internal
