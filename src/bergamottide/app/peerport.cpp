#include "bergamottide/app/peerport.h"

#include "bergamottide/app/peerwire.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace bergamottide {

namespace {

using namespace serving;

constexpr std::string_view heartbeatPath = "/peer/heartbeat";
constexpr std::string_view taskPath = "/peer/task";
constexpr std::string_view releasedPath = "/peer/released";
/*! @brief Its query is the key of a stream in decimal digits; the body of the response is a software version. */
constexpr std::string_view streamPath = "/peer/stream";
constexpr std::string_view storeDataPath = "/peer/published";

/*! @brief Time for which sent bytes may stay unacknowledged before the connection is closed. */
constexpr Duration maxUnacknowledgedTime = std::chrono::milliseconds{1000};
constexpr Duration connectTimeout = std::chrono::milliseconds{400};
constexpr Duration heartbeatTimeout = std::chrono::milliseconds{600};
/*! @brief Long enough for a queued task; heartbeats detect a dead peer much earlier. */
constexpr Duration taskIoTimeout = std::chrono::seconds{20};
constexpr Duration closePollPeriod = std::chrono::milliseconds{200};

HttpServerOptions serverOptions(const std::string &address)
{
    HttpServerOptions options;
    options.listen = address;
    options.closePollPeriod = closePollPeriod;
    options.unacknowledgedTimeout = maxUnacknowledgedTime;
    return options;
}

HttpClientOptions clientOptions(Duration ioTimeout)
{
    HttpClientOptions options;
    options.ioTimeout = ioTimeout;
    options.connectTimeout = connectTimeout;
    options.unacknowledgedTimeout = maxUnacknowledgedTime;
    return options;
}

HttpRequest post(std::string_view path, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = std::move(body);
    return request;
}

} // namespace

PeerPort::PeerPort(Loop &loop, const std::string &address, PeerPortHooks hooks)
    : m_loop{loop}
    , m_hooks{std::move(hooks)}
    , m_server{loop, serverOptions(address),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, responder);
               }}
    , m_taskClient{loop, clientOptions(taskIoTimeout)}
    , m_heartbeatClient{loop, clientOptions(heartbeatTimeout)}
{
}

absl::Status PeerPort::listen()
{
    return m_server.listen();
}

std::string PeerPort::address() const
{
    return m_server.address();
}

void PeerPort::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path == heartbeatPath) {
        const auto from = receiveHeartbeat(request.body);
        responder->respond(from.ok() ? HttpResponse{200, {}, peerwire::encode(m_hooks.heartbeat(*from))}
                                     : HttpResponse{400, {}, {}});
        return;
    }
    if (request.path == taskPath) {
        receiveTask(request, responder);
        return;
    }
    if (request.path == streamPath) {
        receiveStreamQuery(request, responder);
        return;
    }
    if (request.path == releasedPath) {
        auto handles = peerwire::decodeHandles(request.body);
        responder->respond({handles.ok() ? 200 : 400, {}, {}});
        if (handles.ok()) {
            m_hooks.submit(PeerReleasedResults{*std::move(handles)});
        } else {
            logMalformedMessage(handles.status());
        }
        return;
    }
    if (request.path == storeChangesPath && m_storeHandlers.changes) {
        m_storeHandlers.changes(request.query, responder);
        return;
    }
    if (request.path == storeDataPath && m_storeHandlers.snapshot) {
        responder->respond(m_storeHandlers.snapshot(request.query));
        return;
    }
    responder->respond({404, {}, {}});
}

void PeerPort::setStoreHandlers(StoreHandlers handlers)
{
    m_storeHandlers = std::move(handlers);
}

void PeerPort::requestStoreSnapshot(const PeerInfo &peer, const QueryParameters &query,
                                    std::function<void(const HttpResponse &answer)> onAnswer)
{
    HttpRequest request;
    request.method = "GET";
    request.path = storeDataPath;
    request.query = encodeQuery(query);
    HttpCallHooks hooks;
    hooks.done = std::move(onAnswer);
    // The caller asks another peer next time.
    hooks.failed = [](HttpFailure) {
    };
    m_heartbeatClient.call(peer.address, std::move(request), std::move(hooks));
}

void PeerPort::receiveStreamQuery(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    auto query = peerwire::decodeStreamQuery(request);
    if (!query.ok()) {
        logMalformedMessage(query.status());
        responder->respond({400, {}, {}});
        return;
    }
    const StreamQueryNumber number{++m_lastStreamQuery};
    m_streamQueries.emplace(number, responder);
    responder->onClosed([this, number] { m_streamQueries.erase(number); });
    m_hooks.submit(StreamQueryArrived{number, *std::move(query)});
}

void PeerPort::carryOut(const AnswerStreamQuery &effect)
{
    const auto node = m_streamQueries.extract(effect.number);
    if (!node.empty()) {
        node.mapped()->respond(
            {effect.version ? 200 : 204, {}, effect.version ? effect.version->text() : std::string{}});
    }
}

void PeerPort::receiveTask(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    auto task = peerwire::decodeTask(request.body, m_loop.now());
    if (!task.ok()) {
        logMalformedMessage(task.status());
        responder->respond({400, {}, {}});
        return;
    }
    const PeerTaskNumber number{++m_lastPeerTask};
    m_peerTasks.emplace(number, responder);
    responder->onClosed([this, number] {
        if (m_peerTasks.erase(number) != 0) {
            m_hooks.submit(PeerTaskCancelled{number});
        }
    });
    m_hooks.submit(PeerTaskArrived{number, *std::move(task)});
}

/*! @brief Submits a heartbeat and returns the address of its sender. */
absl::StatusOr<std::string> PeerPort::receiveHeartbeat(const std::string &text)
{
    auto heartbeat = peerwire::decodeHeartbeat(text);
    if (!heartbeat.ok()) {
        logMalformedMessage(heartbeat.status());
        return heartbeat.status();
    }
    std::string address = heartbeat->from.address;
    m_hooks.submit(HeartbeatReceived{*std::move(heartbeat)});
    return address;
}

void PeerPort::carryOut(const SendHeartbeat &effect)
{
    HttpCallHooks hooks;
    hooks.done = [this](const HttpResponse &answer) {
        if (answer.status == 200) {
            // receiveHeartbeat logs errors.
            static_cast<void>(receiveHeartbeat(answer.body));
        }
    };
    // A peer is considered lost when its heartbeats are missing; a failed call needs no handling.
    hooks.failed = [](HttpFailure) {
    };
    m_heartbeatClient.call(effect.address, post(heartbeatPath, peerwire::encode(m_hooks.heartbeat(effect.address))),
                           std::move(hooks));
}

void PeerPort::carryOut(const DelegateTask &effect)
{
    const StageTaskId task = effect.task.id;
    const InstanceName peer = effect.peer.instance;
    HttpCallHooks hooks;
    hooks.done = [this, task, peer](const HttpResponse &answer) {
        handleTaskAnswer(task, peer, answer);
    };
    hooks.failed = [this, task, peer](HttpFailure) {
        if (m_delegatedTasks.erase(task) != 0) {
            m_hooks.submit(DelegatedTaskEnded{task, peer, {}});
        }
    };
    m_delegatedTasks[task] = m_taskClient.call(
        effect.peer.address, post(taskPath, peerwire::encode(effect.task, m_loop.now())), std::move(hooks));
}

void PeerPort::handleTaskAnswer(StageTaskId task, const InstanceName &peer, const HttpResponse &answer)
{
    if (m_delegatedTasks.erase(task) == 0) {
        return;
    }
    auto outcomes = peerwire::decodeOutcomes(answer.body, task);
    if (answer.status != 200 || !outcomes.ok()) {
        m_hooks.submit(DelegatedTaskEnded{task, peer, {}});
        return;
    }
    const bool isGivenBack = outcomes->empty();
    m_hooks.submit(DelegatedTaskEnded{task, peer, *std::move(outcomes), isGivenBack});
}

void PeerPort::carryOut(const CancelDelegatedTask &effect)
{
    const auto node = m_delegatedTasks.extract(effect.task);
    if (!node.empty()) {
        m_taskClient.cancel(node.mapped());
    }
}

void PeerPort::carryOut(const CompletePeerTask &effect)
{
    const auto node = m_peerTasks.extract(effect.number);
    if (!node.empty()) {
        node.mapped()->respond({200, {}, peerwire::encode(effect.outcomes)});
    }
}

void PeerPort::carryOut(const NotifyReleasedResults &effect)
{
    HttpCallHooks hooks;
    hooks.done = [](const HttpResponse &) {
    };
    // Not retried: the queue owner drops its record when the results expire.
    hooks.failed = [](HttpFailure) {
    };
    m_taskClient.call(effect.peer.address, post(releasedPath, peerwire::encodeHandles(effect.handles)),
                      std::move(hooks));
}

void PeerPort::carryOut(const LookUpStream &effect)
{
    HttpRequest request = peerwire::encode(effect.query);
    request.path = streamPath;
    HttpCallHooks hooks;
    hooks.done = [this, call = effect.call](const HttpResponse &answer) {
        const bool isKnown = answer.status == 200;
        m_hooks.submit(StreamLookupEnded{call, isKnown ? std::optional{SoftwareVersion{answer.body}} : std::nullopt});
    };
    hooks.failed = [this, call = effect.call](HttpFailure) {
        m_hooks.submit(StreamLookupEnded{call, std::nullopt});
    };
    m_heartbeatClient.call(effect.address, std::move(request), std::move(hooks));
}

void PeerPort::logMalformedMessage(const absl::Status &status)
{
    m_hooks.log({Severity::Warning,
                 Part::Net,
                 "A malformed message from a peer was rejected.",
                 {{"reason", std::string{status.message()}}}});
}

} // namespace bergamottide
