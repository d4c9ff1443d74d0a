#include "bergamottide/app/entryapp.h"

#include "bergamottide/app/startup.h"
#include "bergamottide/net/machinelimits.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamottide {

namespace {

/*! @brief Time between the last response and the exit, so that the kernel can send what is buffered. */
constexpr Duration flushDelay = std::chrono::milliseconds{300};
/*! @brief Upper bound of the body size; equals the largest limit that a configuration document may set. */
constexpr std::size_t maxBodyBytes = 64u << 20;
/*! @brief Time for which the stream to a sidecar that left the instance list is kept: the longest allowed deadline. */
constexpr Duration removedPeerRetention = std::chrono::seconds{60};
/*! @brief Connections of operators at a time. */
constexpr std::size_t maxAdminConnections = 64;
constexpr Duration peerExpiryPeriod = std::chrono::seconds{1};
/*! @brief Time after which an entry is ready although pools have no endpoints. */
constexpr Duration maxWaitForPools = std::chrono::seconds{10};

EntryIdentity makeIdentity(const Settings &settings, Incarnation incarnation)
{
    return EntryIdentity{settings.instance, settings.region, settings.zone, incarnation,
                         static_cast<std::uint64_t>(incarnation)};
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

EntryApp::EntryApp(Loop &loop, const Clock &clock, const Settings &settings, std::vector<TicketKey> ticketKeys,
                   Incarnation incarnation)
    : m_loop{loop}
    , m_settings{settings}
    , m_telemetry{settings, clock}
    , m_tickets{std::move(ticketKeys)}
    , m_reducer{makeIdentity(settings, incarnation)}
    , m_runner{loop, m_reducer,
               [this](EntryEffect effect) {
                   carryOut(std::move(effect));
               }}
    , m_callers{m_tickets, static_cast<std::uint64_t>(incarnation),
                [this](EntryEvent event) {
                    m_runner.submit(std::move(event));
                }}
    , m_admin{settings.adminKeyDigest, adminHooks()}
    , m_memory{std::make_shared<overload::MemoryAccount>(defaultMemoryLimit(),
                                                         defaultMaxConnections() + maxAdminConnections)}
    , m_callerReport{*m_memory, callerReportHooks()}
    , m_callerServer{loop, callerOptions(),
                     [this](const HttpRequest &request, std::shared_ptr<HttpResponder> responder) {
                         m_callers.handle(request, std::move(responder));
                     }}
    , m_adminServer{loop, adminOptions(),
                    [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                        m_admin.handle(request, *responder);
                    }}
    , m_transport{loop, transportOptions(settings, incarnation), peerHooks()}
    , m_peers{m_transport, settings.instance, Role::Entry,
              [this](const Instance &instance) {
                  return instance.role == Role::Sidecar && instance.region == m_settings.region;
              },
              removedPeerRetention}
    , m_feed{loop, feedOptions(settings, incarnation), feedHooks()}
    , m_startedAt{loop.now()}
{
}

absl::Status EntryApp::start()
{
    absl::Status status = m_callerServer.listen();
    status.Update(m_adminServer.listen());
    status.Update(m_transport.listen());
    if (status.ok()) {
        carryOut(AuditRecord{AuditKind::Start, m_settings.instance.text(), "process started", {}});
        m_feed.start();
        m_runner.submit(Tick{});
        expirePeers();
    }
    return status;
}

void EntryApp::drain(const std::string &cause)
{
    m_draining = true;
    m_runner.submit(DrainRequested{cause});
}

void EntryApp::reloadTls()
{
    const absl::Status status = m_callerServer.reloadTls();
    carryOut(
        LogLine{status.ok() ? Severity::Info : Severity::Error,
                Part::Net,
                status.ok() ? "The TLS certificates were reloaded." : "The TLS certificates could not be reloaded.",
                {{"detail", std::string{status.message()}}}});
}

std::string EntryApp::callersAddress() const
{
    return m_callerServer.address();
}

std::string EntryApp::adminAddress() const
{
    return m_adminServer.address();
}

std::string EntryApp::peersAddress() const
{
    return m_transport.address();
}

void EntryApp::expirePeers()
{
    m_peers.closeExpired(m_loop.now());
    m_callerReport.report();
    m_loop.at(m_loop.now() + peerExpiryPeriod, [this] { expirePeers(); });
}

void EntryApp::carryOut(EntryEffect effect)
{
    std::visit([this](const auto &value) { carryOut(value); }, effect);
}

void EntryApp::carryOut(const SendMessage &effect)
{
    m_transport.send(effect.to, effect.message);
}

void EntryApp::carryOut(const ReopenStream &effect)
{
    m_transport.reopen(effect.peer);
}

void EntryApp::carryOut(const SendTicket &effect)
{
    m_callers.carryOut(effect);
}

void EntryApp::carryOut(const SendResultPiece &effect)
{
    m_callers.carryOut(effect);
}

void EntryApp::carryOut(const SendAnswer &effect)
{
    m_callers.carryOut(effect);
}

void EntryApp::carryOut(const DrainComplete &)
{
    m_callerServer.shutdown();
    m_loop.at(m_loop.now() + flushDelay, [this] { m_loop.stop(); });
}

void EntryApp::carryOut(const LogLine &line)
{
    m_telemetry.log(line);
}

void EntryApp::carryOut(const AuditRecord &record)
{
    m_telemetry.audit(record);
}

void EntryApp::carryOut(const Observe &observation)
{
    m_telemetry.observe(observation);
}

PlatformFeedHooks EntryApp::feedHooks()
{
    PlatformFeedHooks hooks;
    hooks.document = [this](ConfigChanged change) {
        m_callers.setDocument(change.document);
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

PeerHooks EntryApp::peerHooks()
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

CallerReportHooks EntryApp::callerReportHooks()
{
    CallerReportHooks hooks;
    hooks.observe = [this](const Observe &observation) {
        carryOut(observation);
    };
    hooks.log = [this](const LogLine &line) {
        carryOut(line);
    };
    return hooks;
}

HttpServerOptions EntryApp::callerOptions()
{
    HttpServerOptions options{m_settings.callersAddress, callersTls(m_settings), maxBodyBytes};
    options.memory = m_memory;
    options.speaksHttp2 = true;
    options.onRefused = [this](CallerRefusal refusal) {
        m_callerReport.recordRefusal(refusal);
    };
    return options;
}

HttpServerOptions EntryApp::adminOptions()
{
    HttpServerOptions options{m_settings.adminAddress, {}, maxBodyBytes};
    options.memory = m_memory;
    options.maxConnections = maxAdminConnections;
    options.onRefused = [this](CallerRefusal refusal) {
        m_callerReport.recordRefusal(refusal);
    };
    return options;
}

AdminHooks EntryApp::adminHooks()
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

bool EntryApp::ready() const
{
    if (m_draining || m_feed.version() == 0 || m_feed.revision() == 0 || m_peers.openCount() == 0) {
        return false;
    }
    // A pool without endpoints must not keep requests to the others away for long.
    return m_reducer.hasEndpointsForAllPipelines() || m_loop.now() - m_startedAt >= maxWaitForPools;
}

std::string EntryApp::status() const
{
    nlohmann::json status = m_feed.status();
    status["instance"] = m_settings.instance.text();
    status["role"] = "entry";
    status["zone"] = m_settings.zone.text();
    status["draining"] = m_draining;
    status["in_progress"] = m_reducer.inProgress();
    status["callers"] = m_callers.waitingCalls();
    status["peers_open"] = m_peers.openCount();
    status["peers_wanted"] = m_peers.wantedCount();
    status["control_bytes"] = m_transport.bytes();
    return status.dump();
}

} // namespace bergamottide
