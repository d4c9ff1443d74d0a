#include "bergamottide/app/sidecarapp.h"

#include "bergamottide/app/startup.h"

#include <utility>

namespace bergamottide {

namespace {

/*! @brief Time between the last message and the exit, so that the streams can send what is buffered. */
constexpr Duration flushDelay = std::chrono::milliseconds{300};
/*! @brief Time for which the stream to a process that left the instance list is kept. */
constexpr Duration removedPeerRetention = std::chrono::seconds{60};
/*! @brief Upper bound of the body size on the admin port; fits the largest document that is validated there. */
constexpr std::size_t maxAdminBodyBytes = 2u << 20;

SidecarIdentity makeIdentity(const Settings &settings, Incarnation incarnation)
{
    return SidecarIdentity{settings.instance, settings.region, settings.zone,
                           settings.pool,     incarnation,     static_cast<std::uint64_t>(incarnation)};
}

PlatformFeedOptions feedOptions(const Settings &settings, Incarnation incarnation)
{
    return PlatformFeedOptions{
        settings.configService, settings.instanceList,
        ConfigIdentity{settings.instance, settings.region, settings.zone, static_cast<std::uint64_t>(incarnation)}};
}

PeerTransportOptions transportOptions(const Settings &settings, Incarnation incarnation)
{
    PeerTransportOptions options;
    options.listen = settings.peersAddress;
    options.tls = peersTls(settings);
    options.hello = Hello{settings.instance, incarnation, 0};
    return options;
}

} // namespace

SidecarApp::SidecarApp(Loop &loop, const Clock &clock, const Settings &settings, Incarnation incarnation)
    : m_loop{loop}
    , m_settings{settings}
    , m_telemetry{settings, clock}
    , m_reducer{makeIdentity(settings, incarnation)}
    , m_runner{loop, m_reducer,
               [this](SidecarEffect effect) {
                   carryOut(std::move(effect));
               }}
    , m_admin{settings.adminKeyDigest, adminHooks()}
    , m_adminServer{loop, HttpServerOptions{settings.adminAddress, {}, maxAdminBodyBytes},
                    [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                        m_admin.handle(request, *responder);
                    }}
    , m_transport{loop, transportOptions(settings, incarnation), peerHooks()}
    , m_peers{m_transport, settings.instance, Role::Sidecar, [](const Instance &) { return false; },
              removedPeerRetention}
    , m_feed{loop, feedOptions(settings, incarnation), feedHooks()}
{
}

absl::Status SidecarApp::start()
{
    absl::Status status = m_adminServer.listen();
    status.Update(m_transport.listen());
    if (status.ok()) {
        carryOut(AuditRecord{AuditKind::Start, m_settings.instance.text(), "process started", {}});
        m_feed.start();
        m_runner.submit(Tick{});
        pollEndpoint();
    }
    return status;
}

void SidecarApp::drain(const std::string &cause)
{
    m_draining = true;
    m_runner.submit(DrainRequested{cause});
}

std::string SidecarApp::adminAddress() const
{
    return m_adminServer.address();
}

std::string SidecarApp::peersAddress() const
{
    return m_transport.address();
}

void SidecarApp::carryOut(SidecarEffect effect)
{
    std::visit([this](const auto &value) { carryOut(value); }, effect);
}

void SidecarApp::carryOut(const SendMessage &effect)
{
    m_transport.send(effect.to, effect.message);
}

void SidecarApp::carryOut(const StartEndpointRun &effect)
{
    if (m_endpoint) {
        m_endpoint->start(effect);
        return;
    }
    m_runner.submit(EndpointRunEnded{effect.spec.run, EndpointResult::Refused, Reason::NoEndpoint});
}

void SidecarApp::carryOut(const CancelEndpointRun &effect)
{
    if (m_endpoint) {
        m_endpoint->cancel(effect.run);
    }
}

void SidecarApp::carryOut(const SendOrder &effect)
{
    if (m_endpoint) {
        m_endpoint->sendOrder(effect);
        return;
    }
    m_runner.submit(OrderAnswered{effect.fencingToken, false});
}

void SidecarApp::carryOut(const DrainComplete &)
{
    m_loop.at(m_loop.now() + flushDelay, [this] { m_loop.stop(); });
}

void SidecarApp::carryOut(const LogLine &line)
{
    m_telemetry.log(line);
}

void SidecarApp::carryOut(const AuditRecord &record)
{
    m_telemetry.audit(record);
}

void SidecarApp::carryOut(const Observe &observation)
{
    m_telemetry.observe(observation);
}

PlatformFeedHooks SidecarApp::feedHooks()
{
    PlatformFeedHooks hooks;
    hooks.document = [this](ConfigChanged change) {
        applyDocument(change.document);
        m_runner.submit(std::move(change));
    };
    hooks.view = [this](std::shared_ptr<const InstanceView> view) {
        m_peers.update(*view, m_loop.now());
        m_runner.submit(ViewChanged{std::move(view)});
    };
    hooks.send = [this](const SendMessage &effect) {
        if (std::holds_alternative<ConfigSubscribe>(effect.message)) {
            m_peers.requestStream(effect.to, m_loop.now());
        }
        carryOut(effect);
    };
    hooks.audit = [this](const AuditRecord &record) {
        carryOut(record);
    };
    hooks.log = [this](const LogLine &line) {
        carryOut(line);
    };
    hooks.observe = [this](const Observe &observation) {
        carryOut(observation);
    };
    return hooks;
}

PeerHooks SidecarApp::peerHooks()
{
    PeerHooks hooks;
    hooks.up = [this](const InstanceName &peer) {
        m_peers.handleOpened(peer);
        m_runner.submit(PeerUp{peer});
    };
    hooks.down = [this](const InstanceName &peer) {
        m_peers.handleClosed(peer, m_loop.now());
        m_feed.handleStreamClosed(peer);
        m_runner.submit(PeerDown{peer});
    };
    hooks.received = [this](const InstanceName &peer, Message message) {
        m_feed.handleMessage(peer, message);
        m_runner.submit(PeerMessage{peer, std::move(message)});
    };
    return hooks;
}

AdminHooks SidecarApp::adminHooks()
{
    AdminHooks hooks;
    hooks.ready = [this] {
        return ready();
    };
    hooks.status = [this] {
        return status();
    };
    hooks.metrics = [this] {
        return m_telemetry.metrics();
    };
    hooks.audit = [this](std::uint64_t after) {
        return m_telemetry.auditLines(after);
    };
    hooks.drain = [this](const std::string &cause) {
        drain(cause);
    };
    return hooks;
}

EndpointHooks SidecarApp::endpointHooks()
{
    EndpointHooks hooks;
    hooks.piece = [this](EndpointResultPiece piece) {
        m_runner.submit(std::move(piece));
    };
    hooks.finished = [this](EndpointRunEnded finished) {
        m_runner.submit(finished);
    };
    hooks.loadReported = [this](EndpointLoadReport report) {
        m_runner.submit(std::move(report));
    };
    hooks.orderAnswered = [this](OrderAnswered answered) {
        m_runner.submit(answered);
    };
    return hooks;
}

void SidecarApp::applyDocument(const std::shared_ptr<const Document> &document)
{
    m_reportPeriod = document->policy.reportPeriod;
    const auto pool = document->pools.find(m_settings.pool);
    if (pool == document->pools.end()) {
        return;
    }
    if (m_endpoint && pool->second.kind == m_kind) {
        return;
    }
    m_kind = pool->second.kind;
    EndpointSettings settings;
    settings.address = m_settings.endpointAddress;
    settings.kind = m_kind;
    settings.maxResultBytes = document->policy.maxResultBytes;
    settings.ioTimeout = document->policy.maxDeadline;
    m_endpoint = makeEndpointAdapter(m_loop, settings, endpointHooks());
}

void SidecarApp::pollEndpoint()
{
    m_peers.closeExpired(m_loop.now());
    if (m_endpoint) {
        m_endpoint->requestLoad();
    }
    m_loop.at(m_loop.now() + m_reportPeriod, [this] { pollEndpoint(); });
}

bool SidecarApp::ready() const
{
    return !m_draining && m_endpoint != nullptr;
}

std::string SidecarApp::status() const
{
    nlohmann::json status = m_feed.status();
    status["instance"] = m_settings.instance.text();
    status["role"] = "side";
    status["zone"] = m_settings.zone.text();
    status["pool"] = m_settings.pool.text();
    status["draining"] = m_draining;
    status["in_progress"] = m_reducer.inProgress();
    status["control_bytes"] = m_transport.bytes();
    return status.dump();
}

} // namespace bergamottide
