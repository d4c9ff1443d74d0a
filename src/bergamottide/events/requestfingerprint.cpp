#include "bergamottide/events/requestfingerprint.h"

#include "bergamottide/events/events.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace bergamottide::serving {

namespace {

/*! @brief Bytes of the digest that a fingerprint keeps. */
constexpr std::size_t fingerprintBytes = 16;
/*! @brief Maximum number of prompt parts with a fingerprint; bounds the work for each request. */
constexpr std::size_t maxParts = 64;

RequestFingerprint partFingerprint(const WorkspaceName &workspace, const std::string &part)
{
    // The first byte differs from that of the digested text of any request.
    const std::string text = absl::StrCat("part:", workspace.text().size(), ":", workspace.text(), part);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    const absl::string_view kept{reinterpret_cast<const char *>(digest.data()), fingerprintBytes};
    return RequestFingerprint{absl::BytesToHexString(kept)};
}

} // namespace

RequestFingerprint fingerprintOf(const WorkspaceName &workspace, const CallerRequest &request)
{
    const std::string host = absl::AsciiStrToLower(request.host);
    std::string head;
    // The lengths keep the fields apart.
    for (const std::string_view field :
         std::array<std::string_view, 4>{workspace.text(), request.method, host, request.target}) {
        head.append(std::to_string(field.size())).append(":").append(field);
    }
    EVP_MD_CTX *const context = EVP_MD_CTX_new();
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
    EVP_DigestUpdate(context, head.data(), head.size());
    EVP_DigestUpdate(context, request.body.data(), request.body.size());
    EVP_DigestFinal_ex(context, digest.data(), nullptr);
    EVP_MD_CTX_free(context);
    const absl::string_view kept{reinterpret_cast<const char *>(digest.data()), fingerprintBytes};
    return RequestFingerprint{absl::BytesToHexString(kept)};
}

RequestFingerprint stageFingerprint(const RequestFingerprint &request, std::uint32_t stage)
{
    return RequestFingerprint{absl::StrCat(request.text(), ".", stage)};
}

std::set<RequestFingerprint> partFingerprintsOf(const WorkspaceName &workspace, const CallerRequest &request)
{
    std::set<RequestFingerprint> out;
    const std::size_t shared = request.prompt.empty() ? 0 : request.prompt.size() - 1;
    for (std::size_t part = 0; part < std::min(shared, maxParts); ++part) {
        out.insert(partFingerprint(workspace, request.prompt[part].id));
    }
    return out;
}

std::string joinedFingerprints(const std::set<RequestFingerprint> &fingerprints)
{
    return absl::StrJoin(fingerprints, ",",
                         [](std::string *out, const RequestFingerprint &one) { out->append(one.text()); });
}

} // namespace bergamottide::serving
