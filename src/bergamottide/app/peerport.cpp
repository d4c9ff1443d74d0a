#include "bergamottide/app/peerport.h"

#include "bergamottide/app/peerwire.h"

#include <utility>

namespace bergamottide {

namespace {

using namespace serving;

constexpr std::string_view heartbeatPath = "/peer/heartbeat";
constexpr std::string_view taskPath = "/peer/task";
constexpr std::string_view releasedPath = "/peer/released";
constexpr std::string_view publishedPath = "/peer/published";

/*! @brief Time for which bytes to a peer may stay unacknowledged. */
constexpr Duration unacknowledged = std::chrono::milliseconds{1000};
constexpr Duration connectTimeout = std::chrono::milliseconds{400};
/*! @brief A heartbeat that is not answered by then has failed; the peer counts as gone somewhat later. */
constexpr Duration heartbeatTimeout = std::chrono::milliseconds{600};
/*! @brief A task may wait for its turn for as long as its request; silence shows by the heartbeats. */
constexpr Duration taskTimeout = std::chrono::seconds{20};
constexpr Duration closePollPeriod = std::chrono::milliseconds{200};

HttpServerOptions serverOptions(const std::string &address)
{
    HttpServerOptions options;
    options.listen = address;
    options.closePollPeriod = closePollPeriod;
    options.unacknowledged = unacknowledged;
    return options;
}

HttpClientOptions clientOptions(Duration silence)
{
    HttpClientOptions options;
    options.ioTimeout = silence;
    options.connectTimeout = connectTimeout;
    options.unacknowledged = unacknowledged;
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
    , m_client{loop, clientOptions(taskTimeout)}
    , m_heartbeats{loop, clientOptions(heartbeatTimeout)}
{
}

absl::Status PeerPort::listen()
{
    return m_server.listen();
}

void PeerPort::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path == heartbeatPath) {
        const auto from = takeHeartbeat(request.body);
        responder->answer(from.ok() ? HttpAnswer{200, {}, peerwire::write(m_hooks.heartbeat(*from))}
                                    : HttpAnswer{400, {}, {}});
        return;
    }
    if (request.path == taskPath) {
        takeTask(request, responder);
        return;
    }
    if (request.path == releasedPath) {
        auto handles = peerwire::readHandles(request.body);
        responder->answer({handles.ok() ? 200 : 400, {}, {}});
        if (handles.ok()) {
            m_hooks.submit(PeerReleased{*std::move(handles)});
        } else {
            logUnreadable(handles.status());
        }
        return;
    }
    if (request.path == publishedChangesPath && m_published.changes) {
        m_published.changes(request.query, responder);
        return;
    }
    if (request.path == publishedPath && m_published.all) {
        const auto body = m_published.all(request.query);
        responder->answer({body ? 200 : 204, {}, body.value_or(std::string{})});
        return;
    }
    responder->answer({404, {}, {}});
}

void PeerPort::onPublishedAsked(PublishedAnswers answers)
{
    m_published = std::move(answers);
}

void PeerPort::askPublished(const PeerInfo &peer, const std::string &query,
                            std::function<void(const std::string &body)> then)
{
    HttpRequest request;
    request.method = "GET";
    request.path = publishedPath;
    request.query = query;
    HttpCallHooks hooks;
    hooks.done = [then = std::move(then)](const HttpAnswer &answer) {
        if (answer.status == 200) {
            then(answer.body);
        }
    };
    // Another peer is asked next time.
    hooks.failed = [](HttpFailure) {
    };
    m_heartbeats.call(peer.address, std::move(request), std::move(hooks));
}

void PeerPort::takeTask(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    auto task = peerwire::readTask(request.body, m_loop.now());
    if (!task.ok()) {
        logUnreadable(task.status());
        responder->answer({400, {}, {}});
        return;
    }
    const PeerTaskNumber number{++m_lastAsked};
    m_asked.emplace(number, responder);
    responder->onClosed([this, number] {
        if (m_asked.erase(number) != 0) {
            m_hooks.submit(PeerTaskGone{number});
        }
    });
    m_hooks.submit(PeerTaskArrived{number, *std::move(task)});
}

/*! @brief Takes a heartbeat, and returns the address of its sender. */
absl::StatusOr<std::string> PeerPort::takeHeartbeat(const std::string &text)
{
    auto heartbeat = peerwire::readHeartbeat(text);
    if (!heartbeat.ok()) {
        logUnreadable(heartbeat.status());
        return heartbeat.status();
    }
    std::string address = heartbeat->from.address;
    m_hooks.submit(HeartbeatHeard{*std::move(heartbeat)});
    return address;
}

void PeerPort::carryOut(const SendHeartbeat &effect)
{
    HttpCallHooks hooks;
    hooks.done = [this](const HttpAnswer &answer) {
        if (answer.status == 200) {
            // An unreadable one is logged there.
            static_cast<void>(takeHeartbeat(answer.body));
        }
    };
    // A peer that does not answer is told by its silence.
    hooks.failed = [](HttpFailure) {
    };
    m_heartbeats.call(effect.address, post(heartbeatPath, peerwire::write(m_hooks.heartbeat(effect.address))),
                      std::move(hooks));
}

void PeerPort::carryOut(const HandTask &effect)
{
    const StageTaskId task = effect.task.id;
    const InstanceName peer = effect.peer.instance;
    HttpCallHooks hooks;
    hooks.done = [this, task, peer](const HttpAnswer &answer) {
        handedEnded(task, peer, answer);
    };
    hooks.failed = [this, task, peer](HttpFailure) {
        if (m_handed.erase(task) != 0) {
            m_hooks.submit(HandedTaskEnded{task, peer, {}});
        }
    };
    m_handed[task] = m_client.call(effect.peer.address, post(taskPath, peerwire::write(effect.task, m_loop.now())),
                                   std::move(hooks));
}

void PeerPort::handedEnded(StageTaskId task, const InstanceName &peer, const HttpAnswer &answer)
{
    if (m_handed.erase(task) == 0) {
        return;
    }
    auto outcomes = peerwire::readOutcomes(answer.body, task);
    if (answer.status != 200 || !outcomes.ok()) {
        m_hooks.submit(HandedTaskEnded{task, peer, {}});
        return;
    }
    const bool isGivenBack = outcomes->empty();
    m_hooks.submit(HandedTaskEnded{task, peer, *std::move(outcomes), isGivenBack});
}

void PeerPort::carryOut(const RecallTask &effect)
{
    const auto node = m_handed.extract(effect.task);
    if (!node.empty()) {
        m_client.cancel(node.mapped());
    }
}

void PeerPort::carryOut(const AnswerPeerTask &effect)
{
    const auto node = m_asked.extract(effect.number);
    if (!node.empty()) {
        node.mapped()->answer({200, {}, peerwire::write(effect.outcomes)});
    }
}

void PeerPort::carryOut(const TellReleased &effect)
{
    HttpCallHooks hooks;
    hooks.done = [](const HttpAnswer &) {
    };
    // The owner drops its record of the results when they lapse.
    hooks.failed = [](HttpFailure) {
    };
    m_client.call(effect.peer.address, post(releasedPath, peerwire::writeHandles(effect.handles)), std::move(hooks));
}

void PeerPort::logUnreadable(const absl::Status &status)
{
    m_hooks.log({Severity::Warning,
                 Part::Net,
                 "A peer's message cannot be read.",
                 {{"reason", std::string{status.message()}}}});
}

} // namespace bergamottide
