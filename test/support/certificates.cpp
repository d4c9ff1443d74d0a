#include "support/certificates.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

namespace bergamottide::test {

namespace {

constexpr long validSeconds = 3600;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

Key makeKey()
{
    return Key{EVP_EC_gen("P-256"), &EVP_PKEY_free};
}

void addExtension(X509 *certificate, X509 *issuer, int id, const char *value)
{
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, &context, id, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

Certificate makeCertificate(EVP_PKEY *key, const char *name, long serial)
{
    Certificate certificate{X509_new(), &X509_free};
    X509_set_version(certificate.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -validSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validSeconds);
    X509_set_pubkey(certificate.get(), key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate.get()), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name), -1, -1, 0);
    return certificate;
}

void writeCertificate(const std::string &path, X509 *certificate)
{
    std::FILE *file = std::fopen(path.c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
}

void writeKey(const std::string &path, EVP_PKEY *key)
{
    std::FILE *file = std::fopen(path.c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
}

} // namespace

struct Certificates::Authority
{
    Key key{makeKey()};
    Certificate certificate{makeCertificate(key.get(), "test authority", 1)};
    long nextSerial{2};
};

Certificates::Certificates()
    : m_authority{new Authority}
{
    std::string pattern = (std::filesystem::temp_directory_path() / "bergamottide-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    X509 *root = m_authority->certificate.get();
    X509_set_issuer_name(root, X509_get_subject_name(root));
    addExtension(root, root, NID_basic_constraints, "critical,CA:TRUE");
    X509_sign(root, m_authority->key.get(), EVP_sha256());
    writeCertificate(m_folder + "/authority.pem", root);
    renew();
}

Certificates::~Certificates()
{
    delete m_authority;
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

TlsFiles Certificates::files() const
{
    return {m_folder + "/certificate.pem", m_folder + "/key.pem", m_folder + "/authority.pem"};
}

void Certificates::renew()
{
    const Key key = makeKey();
    const Certificate certificate = makeCertificate(key.get(), "test", m_authority->nextSerial++);
    X509 *root = m_authority->certificate.get();
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(root));
    addExtension(certificate.get(), root, NID_subject_alt_name, "IP:127.0.0.1");
    X509_sign(certificate.get(), m_authority->key.get(), EVP_sha256());
    writeCertificate(m_folder + "/certificate.pem", certificate.get());
    writeKey(m_folder + "/key.pem", key.get());
}

} // namespace bergamottide::test
