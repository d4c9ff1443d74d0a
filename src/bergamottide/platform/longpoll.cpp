#include "bergamottide/platform/longpoll.h"

#include "bergamottide/core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

HttpClientOptions clientOptions(const LongPollOptions &options)
{
    HttpClientOptions client;
    client.ioTimeout = options.wait + options.timeoutMargin;
    client.maxBodyBytes = options.maxBytes;
    client.idleConnections = 1;
    return client;
}

Reason reasonOf(HttpFailure failure)
{
    return failure == HttpFailure::TooLarge ? Reason::AnswerTooLarge : Reason::ConnectionLost;
}

} // namespace

LongPoll::LongPoll(Loop &loop, LongPollOptions options, Hooks hooks)
    : m_loop{loop}
    , m_options{std::move(options)}
    , m_hooks{std::move(hooks)}
    , m_client{loop, clientOptions(m_options)}
    , m_backoff{m_options.initialBackoff, m_options.maxBackoff, m_options.seed}
{
}

LongPoll::~LongPoll()
{
    stop();
}

void LongPoll::start()
{
    if (m_isRunning) {
        return;
    }
    m_isRunning = true;
    read();
}

void LongPoll::stop()
{
    m_isRunning = false;
    m_client.cancel(m_call);
    m_loop.cancel(m_timer);
    m_call = {};
    m_timer = {};
}

void LongPoll::advance(std::uint64_t version)
{
    m_version = std::max(m_version, version);
}

const LongPollCounts &LongPoll::counts() const noexcept
{
    return m_counts;
}

void LongPoll::read()
{
    ++m_counts.reads;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.wait);
    HttpRequest request;
    request.method = "GET";
    request.path = m_options.path;
    request.query = encodeQuery({{"after", absl::StrCat(m_version)}, {"wait_ms", absl::StrCat(wait.count())}});
    HttpCallHooks hooks;
    hooks.done = [this](HttpResponse answer) {
        handleResponse(std::move(answer));
    };
    hooks.failed = [this](HttpFailure failure) {
        handleFailure(makeError(reasonOf(failure), m_options.path, std::string{enumName(failure)}));
    };
    m_call = m_client.call(m_options.address, std::move(request), std::move(hooks));
}

void LongPoll::scheduleRead(Duration delay)
{
    m_call = {};
    if (!m_isRunning) {
        return;
    }
    m_timer = m_loop.at(m_loop.now() + delay, [this] {
        m_timer = {};
        read();
    });
}

void LongPoll::handleResponse(HttpResponse answer)
{
    if (answer.status == statusNotModified) {
        m_backoff.reset();
        if (m_hooks.unchanged) {
            m_hooks.unchanged();
        }
        scheduleRead(m_options.readDelay);
        return;
    }
    const absl::Status status = acceptValue(std::move(answer));
    if (!status.ok()) {
        handleFailure(status);
        return;
    }
    m_backoff.reset();
    scheduleRead(m_options.readDelay);
}

void LongPoll::handleFailure(const absl::Status &error)
{
    ++m_counts.errors;
    if (m_hooks.failed) {
        m_hooks.failed(error);
    }
    scheduleRead(m_backoff.next());
}

absl::Status LongPoll::acceptValue(HttpResponse answer)
{
    if (answer.status != statusOk) {
        return makeError(Reason::EndpointFailed, m_options.path,
                         absl::StrCat("The service responded with status ", answer.status));
    }
    m_counts.bytes += answer.body.size();
    const auto version = m_hooks.value(std::move(answer));
    if (!version.ok()) {
        return version.status();
    }
    if (*version <= m_version) {
        return makeError(Reason::StaleView, m_options.path,
                         "The service sent a value that is not newer than the current one");
    }
    ++m_counts.values;
    m_version = *version;
    return absl::OkStatus();
}

} // namespace bergamottide
