#include "bergamottide/platform/configclient.h"

#include "bergamottide/core/error.h"
#include "bergamottide/platform/valuedigest.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace bergamottide {

namespace {

constexpr std::string_view configPath = "/v1/config";
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
/*! @brief Largest document in bytes; the service stores values of up to one mebibyte. */
constexpr std::size_t maxDocumentBytes = (1u << 20) + (64u << 10);
/*! @brief Inactivity after which a read fails. */
constexpr Duration readTimeout = std::chrono::seconds{4};

HttpClientOptions clientOptions()
{
    HttpClientOptions options;
    options.ioTimeout = readTimeout;
    options.maxBodyBytes = maxDocumentBytes;
    options.idleConnections = 1;
    return options;
}

} // namespace

ConfigClient::ConfigClient(Loop &loop, std::string address, ConfigClientHooks hooks)
    : m_address{std::move(address)}
    , m_hooks{std::move(hooks)}
    , m_client{loop, clientOptions()}
{
}

ConfigClient::~ConfigClient()
{
    m_client.cancel(m_call);
}

void ConfigClient::read(std::uint64_t after)
{
    m_client.cancel(m_call);
    ++m_counts.reads;
    HttpRequest request;
    request.method = "GET";
    request.path = configPath;
    request.query = encodeQuery({{"after", absl::StrCat(after)}, {"wait_ms", "0"}});
    HttpCallHooks hooks;
    hooks.done = [this](HttpResponse answer) {
        handleResponse(std::move(answer));
    };
    hooks.failed = [this](HttpFailure failure) {
        const Reason reason = failure == HttpFailure::TooLarge ? Reason::AnswerTooLarge : Reason::ConnectionLost;
        handleFailure(makeError(reason, configPath, enumName(failure)));
    };
    m_call = m_client.call(m_address, std::move(request), std::move(hooks));
}

const ConfigClientCounts &ConfigClient::counts() const noexcept
{
    return m_counts;
}

void ConfigClient::handleResponse(HttpResponse answer)
{
    m_call = {};
    if (answer.status == statusNotModified) {
        m_hooks.unchanged();
        return;
    }
    if (answer.status != statusOk) {
        handleFailure(makeError(Reason::EndpointFailed, configPath,
                                absl::StrCat("The configuration service responded with status ", answer.status, ".")));
        return;
    }
    m_counts.bytes += answer.body.size();
    const absl::Status digestStatus = checkDigest(answer);
    if (!digestStatus.ok()) {
        handleFailure(digestStatus);
        return;
    }
    ++m_counts.documents;
    m_hooks.document(std::move(answer.body));
}

void ConfigClient::handleFailure(const absl::Status &error)
{
    m_call = {};
    ++m_counts.errors;
    m_hooks.failed(error);
}

} // namespace bergamottide
