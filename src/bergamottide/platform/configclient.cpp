#include "bergamottide/platform/configclient.h"

#include "bergamottide/core/error.h"
#include "bergamottide/platform/valuedigest.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace bergamottide {

namespace {

constexpr std::string_view path = "/v1/config";
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
/*! @brief Largest document in bytes: the service holds values up to a megabyte. */
constexpr std::size_t maxBytes = (1u << 20) + (64u << 10);
/*! @brief Silence after which a read is given up; the service answers in milliseconds. */
constexpr Duration timeout = std::chrono::seconds{4};

HttpClientOptions clientOptions()
{
    HttpClientOptions options;
    options.ioTimeout = timeout;
    options.maxBodyBytes = maxBytes;
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
    request.path = path;
    request.query = absl::StrCat("after=", after, "&wait_ms=0");
    HttpCallHooks hooks;
    hooks.done = [this](HttpAnswer answer) {
        answered(std::move(answer));
    };
    hooks.failed = [this](HttpFailure failure) {
        const Reason reason = failure == HttpFailure::TooLarge ? Reason::AnswerTooLarge : Reason::ConnectionLost;
        failed(makeError(reason, path, enumName(failure)));
    };
    m_call = m_client.call(m_address, std::move(request), std::move(hooks));
}

const ConfigClientCounts &ConfigClient::counts() const noexcept
{
    return m_counts;
}

void ConfigClient::answered(HttpAnswer answer)
{
    m_call = {};
    if (answer.status == statusNotModified) {
        m_hooks.unchanged();
        return;
    }
    if (answer.status != statusOk) {
        failed(makeError(Reason::EndpointFailed, path, absl::StrCat("The service answered ", answer.status, ".")));
        return;
    }
    m_counts.bytes += answer.body.size();
    const absl::Status intact = checkDigest(answer);
    if (!intact.ok()) {
        failed(intact);
        return;
    }
    ++m_counts.documents;
    m_hooks.document(std::move(answer.body));
}

void ConfigClient::failed(const absl::Status &error)
{
    m_call = {};
    ++m_counts.errors;
    m_hooks.failed(error);
}

} // namespace bergamottide
