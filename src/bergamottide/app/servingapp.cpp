#include "bergamottide/app/servingapp.h"

#include "bergamottide/net/machinelimits.h"
#include "bergamottide/telemetry/outputappender.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

namespace bergamottide {

namespace {

using namespace serving;

/*! @brief Limit of the body size until a configuration sets one. */
constexpr std::size_t maxBodyBytes = 16U << 20U;
constexpr int statusHeadTooLarge = 431;
constexpr int statusBadGateway = 502;
/*! @brief Limit of the body size on the ports for readiness and metrics, which take none. */
constexpr std::size_t maxInternalBodyBytes = 16U << 10U;
/*! @brief Connections of callers for each connection of these ports. */
constexpr std::size_t callersPerInternalConnection = 8;
constexpr std::size_t minInternalConnections = 4;
/*! @brief Smallest limit of heads at the socket, in bytes; the exact limit is checked once a head is read. */
constexpr std::size_t minHeadBytes = 64U << 10U;
/*! @brief Path of the list of quarantined requests, on the metrics port. */
constexpr std::string_view quarantinePath = "/quarantine";
/*! @brief Longest idle time of a caller's connection; exceeds the limit documented for callers. */
constexpr Duration callersIdleTimeout = std::chrono::seconds{60};
/*! @brief Longest delay until a disconnected caller is detected; bounds the work wasted at an endpoint. */
constexpr Duration closePollPeriod = std::chrono::milliseconds{150};
/*! @brief Time for which sent bytes may stay unacknowledged; long enough to retransmit a lost packet. */
constexpr Duration maxUnacknowledgedTime = std::chrono::milliseconds{3000};
/*! @brief Shorter than the first retransmission of a lost SYN, so that another endpoint is tried instead. */
constexpr Duration connectTimeout = std::chrono::milliseconds{400};
/*! @brief Time without data after which a call to an endpoint has failed; deadlines are normally shorter. */
constexpr Duration endpointIoTimeout = std::chrono::seconds{20};
/*! @brief Largest response of an endpoint that is read as a whole, such as that to a stage call, in bytes. */
constexpr std::size_t maxCollectedBytes = 512U << 10U;
/*! @brief Largest sum of such responses that are being received, in bytes. */
constexpr std::size_t maxCollectedSum = 16U << 20U;
/*! @brief Unsent bytes buffered for a slow caller; above this its connection is aborted. */
constexpr std::size_t maxUnsentBytes = 1U << 20U;
/*! @brief Time after the start of a drain in which the load balancer may still open connections. */
constexpr Duration balancerRemovalTime = std::chrono::milliseconds{3500};
/*! @brief Time before the end of the grace period at which the process exits even if requests are unfinished. */
constexpr Duration exitMargin = std::chrono::milliseconds{500};
/*! @brief Time between the last response and the exit, so that the kernel can send what is buffered. */
constexpr Duration flushDelay = std::chrono::milliseconds{300};
constexpr Duration loadReportPeriod = std::chrono::milliseconds{500};
/*! @brief Load share from which the load is logged. */
constexpr double highLoad = 0.9;
constexpr double bytesPerMegabit = 125'000.0;
constexpr Duration processorTimePeriod = std::chrono::milliseconds{50};

std::size_t callersMemory(const ServingSettings &settings)
{
    return settings.callersMemory == 0 ? defaultMemoryLimit() : settings.callersMemory;
}

std::size_t callersConnections(const ServingSettings &settings)
{
    if (settings.callersConnections != 0) {
        return settings.callersConnections;
    }
    return std::min(defaultMaxConnections(), overload::MemoryAccount::mostHolders(callersMemory(settings)));
}

std::size_t internalConnections()
{
    return std::max(minInternalConnections, defaultMaxConnections() / callersPerInternalConnection);
}

HttpClientOptions endpointOptions(TrafficHook onTraffic)
{
    HttpClientOptions options;
    options.ioTimeout = endpointIoTimeout;
    options.connectTimeout = connectTimeout;
    options.unacknowledgedTimeout = maxUnacknowledgedTime;
    options.maxCollectedBytes = maxCollectedBytes;
    options.maxCollectedSum = maxCollectedSum;
    options.onTraffic = std::move(onTraffic);
    return options;
}

bool wasNothingSent(HttpFailure failure)
{
    return failure == HttpFailure::Connect || failure == HttpFailure::ConnectTimeout;
}

/*! @brief Returns what a failed check tells of an endpoint: a machine without the process refuses connections. */
EndpointState stateAfterFailure(HttpFailure failure)
{
    return failure == HttpFailure::Connect ? EndpointState::Stopped : EndpointState::Unknown;
}

RetryBudgetOptions retryOptions(const ServingSettings &settings)
{
    RetryBudgetOptions options;
    options.ratio = settings.retryRatio;
    options.slack = settings.retrySlack;
    options.window = settings.retryWindow;
    return options;
}

ServingOptions servingOptions(const ServingSettings &settings, Incarnation incarnation)
{
    ServingOptions options;
    options.self = {settings.instance, settings.peersAddress, settings.capacity(), settings.zone};
    options.seeds = settings.seeds;
    options.regions = settings.zones;
    options.incarnation = static_cast<std::uint64_t>(incarnation);
    options.retries = retryOptions(settings);
    options.releasedRequests = settings.releasedRequests;
    options.usesForecastMargin = settings.forecastMargin;
    options.sharesAllStagePools = settings.shareStagePools;
    return options;
}

Duration toDuration(const timeval &time)
{
    return std::chrono::seconds{time.tv_sec} + std::chrono::microseconds{time.tv_usec};
}

/*! @brief Returns the processor time of this process since its start. */
Duration processorTime()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

std::string toJson(const std::vector<QuarantinedRequest> &requests, const std::vector<QuarantinedParts> &parts)
{
    nlohmann::json out = nlohmann::json::array();
    for (const QuarantinedRequest &request : requests) {
        out.push_back({{"fingerprint", request.fingerprint.text()},
                       {"crashes", request.crashes},
                       {"secondsLeft", request.timeLeft / std::chrono::seconds{1}}});
    }
    for (const QuarantinedParts &item : parts) {
        nlohmann::json fingerprints = nlohmann::json::array();
        for (const RequestFingerprint &part : item.parts) {
            fingerprints.push_back(part.text());
        }
        out.push_back({{"parts", std::move(fingerprints)},
                       {"crashes", item.crashes},
                       {"secondsLeft", item.timeLeft / std::chrono::seconds{1}}});
    }
    return out.dump();
}

} // namespace

ServingApp::ServingApp(Loop &loop, const Clock &clock, const ServingSettings &settings, ServingCodec codec,
                       Incarnation incarnation)
    : m_loop{loop}
    , m_settings{settings}
    , m_codec{std::move(codec)}
    , m_log{LogOptions{LogFormat::Json, settings.logLevel, settings.instance}, clock,
            log4cplus::SharedAppenderPtr{new OutputAppender{STDOUT_FILENO}}}
    , m_loadMeter{settings.processorShare, settings.linkMbps * bytesPerMegabit}
    , m_memory{std::make_shared<overload::MemoryAccount>(callersMemory(settings),
                                                         callersConnections(settings) + 2 * internalConnections())}
    , m_callerReport{*m_memory, callerReportHooks()}
    , m_connectionGate{m_loadMeter}
    , m_reducer{servingOptions(settings, incarnation)}
    , m_runner{loop, m_reducer,
               [this](Effect effect) {
                   carryOut(std::move(effect));
               }}
    , m_endpointClient{loop, endpointOptions(trafficHook())}
    , m_releaseClient{loop, endpointOptions(trafficHook())}
    , m_endpointCalls{m_endpointClient, incarnation, endpointCallsHooks()}
    , m_peers{loop, settings.peersAddress, peerHooks()}
    , m_callersServer{loop, callersOptions(),
                      [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) {
                          handle(std::move(request), responder);
                      }}
    , m_readyServer{loop, internalOptions(settings.readyAddress),
                    [this](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
                        responder->respond({m_reducer.canServe() ? 200 : 503, {}, {}});
                    }}
{
    if (!settings.metricsAddress.empty()) {
        m_metricsServer.emplace(
            loop, internalOptions(settings.metricsAddress),
            [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                if (request.path == quarantinePath) {
                    responder->respond({200,
                                        {{"content-type", "application/json"}},
                                        toJson(m_reducer.quarantinedRequests(m_loop.now()),
                                               m_reducer.quarantinedParts(m_loop.now()))});
                    return;
                }
                responder->respond({200, {{"content-type", "text/plain; version=0.0.4"}}, m_metrics.text()});
            });
    }
}

absl::Status ServingApp::start()
{
    absl::Status status = m_callersServer.listen();
    status.Update(m_readyServer.listen());
    status.Update(m_peers.listen());
    if (m_metricsServer) {
        status.Update(m_metricsServer->listen());
    }
    if (status.ok()) {
        log({Severity::Info,
             Part::Entry,
             "The process has started.",
             {{"callers", m_callersServer.address()}, {"zone", m_settings.zone.text()}}});
        m_loop.setFiguresHook([this](const RoundFigures &figures) { recordRound(figures); });
        m_runner.submit(Tick{});
        pollDirectory();
        reportLoad();
    }
    return status;
}

std::string ServingApp::callersAddress() const
{
    return m_callersServer.address();
}

bool ServingApp::canServe() const
{
    return m_reducer.canServe();
}

void ServingApp::drain()
{
    if (std::exchange(m_draining, true)) {
        return;
    }
    m_drainStartedAt = m_loop.now();
    const TimePoint exitAt = m_drainStartedAt + m_settings.gracePeriod - exitMargin;
    m_loop.at(exitAt, [this] { m_loop.stop(); });
    m_callersServer.closeAfterAnswers();
    m_runner.submit(DrainRequested{std::max(exitAt - flushDelay, m_drainStartedAt)});
}

void ServingApp::applySettings(const ServingSettings &settings)
{
    const bool needsRestart = settings.callersAddress != m_settings.callersAddress
        || settings.readyAddress != m_settings.readyAddress || settings.peersAddress != m_settings.peersAddress
        || settings.storeAddress != m_settings.storeAddress || settings.metricsAddress != m_settings.metricsAddress
        || settings.instance != m_settings.instance || settings.logLevel != m_settings.logLevel
        || settings.callersMemory != m_settings.callersMemory
        || settings.callersConnections != m_settings.callersConnections
        || settings.callersMinRate != m_settings.callersMinRate;
    log({needsRestart ? Severity::Warning : Severity::Info,
         Part::Entry,
         "The settings have changed.",
         {{"seeds", absl::StrCat(settings.seeds.size())},
          {"grace_ms", absl::StrCat(settings.gracePeriod / std::chrono::milliseconds{1})},
          {"needs_restart", needsRestart ? "yes" : "no"}}});
    m_settings.gracePeriod = settings.gracePeriod;
    m_runner.submit(SettingsChanged{settings.seeds, retryOptions(settings), settings.releasedRequests});
}

void ServingApp::setCatalog(std::shared_ptr<const Catalog> catalog)
{
    if (catalog->version <= m_catalogVersion) {
        return;
    }
    m_catalogVersion = catalog->version;
    m_limits = catalog->limits;
    m_callersServer.setMaxBodyBytes(m_limits.maxBodyBytes);
    m_callersServer.setHeadLimits(std::max(minHeadBytes, 2 * m_limits.maxHeadBytes), m_limits.headTimeout,
                                  m_limits.idleTimeout);
    if (m_callersServer.maxBodyBytes() < m_limits.maxBodyBytes) {
        log({Severity::Warning,
             Part::Net,
             "Memory for callers has no room for a request of the largest size.",
             {{"largest", absl::StrCat(m_limits.maxBodyBytes)}, {"limit", absl::StrCat(m_memory->limit())}}});
    }
    m_runner.submit(CatalogChanged{std::move(catalog)});
}

EndpointDirectory &ServingApp::endpointDirectory() noexcept
{
    return m_directory;
}

void ServingApp::applyEndpointChanges()
{
    if (auto list = m_directory.takeChangedList(m_loop.now())) {
        m_runner.submit(EndpointsChanged{std::move(list)});
    }
}

void ServingApp::confirmEndpoints(TimePoint asOf)
{
    m_runner.submit(EndpointsConfirmed{asOf});
}

void ServingApp::leaveUnconfirmed()
{
    m_runner.submit(EndpointsUnconfirmed{});
}

void ServingApp::setFormerEndpoints(FormerEndpointsRead former)
{
    m_runner.submit(std::move(former));
}

void ServingApp::log(const LogLine &line)
{
    if (const auto summary = m_logGate.summary(m_loop.now())) {
        m_log.write(*summary);
    }
    if (m_logGate.admits(line, m_loop.now())) {
        m_log.write(line);
    }
    countDroppedLines();
}

void ServingApp::observe(const Observe &observation)
{
    m_metrics.observe(observation);
}

void ServingApp::countDroppedLines()
{
    const std::uint64_t dropped = m_logGate.dropped();
    if (dropped != m_countedDroppedLines) {
        m_metrics.observe(
            Observe{Metric::LogLinesDroppedTotal, {}, static_cast<double>(dropped - m_countedDroppedLines)});
        m_countedDroppedLines = dropped;
    }
}

std::vector<PeerInfo> ServingApp::livePeers() const
{
    return m_reducer.livePeers(m_loop.now());
}

bool ServingApp::isFleetKnown() const
{
    return m_reducer.isFleetKnown(m_loop.now());
}

std::vector<std::string> ServingApp::storeReaders() const
{
    return m_reducer.storeReaders(m_loop.now());
}

void ServingApp::setStoreHandlers(StoreHandlers handlers)
{
    m_confirmStore = handlers.confirm;
    m_readStoreHistory = handlers.readHistory;
    m_peers.setStoreHandlers(std::move(handlers));
}

void ServingApp::requestStoreSnapshot(const PeerInfo &peer, const QueryParameters &query,
                                      std::function<void(const HttpResponse &answer)> onAnswer)
{
    m_peers.requestStoreSnapshot(peer, query, std::move(onAnswer));
}

void ServingApp::pollDirectory()
{
    applyEndpointChanges();
    m_loop.at(m_loop.now() + maxTickInterval, [this] { pollDirectory(); });
}

HttpServerOptions ServingApp::callersOptions()
{
    HttpServerOptions options;
    options.listen = m_settings.callersAddress;
    options.maxBodyBytes = maxBodyBytes;
    options.idleTimeout = callersIdleTimeout;
    options.closePollPeriod = closePollPeriod;
    options.unacknowledgedTimeout = maxUnacknowledgedTime;
    options.onTraffic = trafficHook();
    options.decideConnection = [this](const overload::WaitingConnection &connection) {
        return decideConnection(connection);
    };
    options.memory = m_memory;
    options.maxConnections = callersConnections(m_settings);
    options.minBytesPerSecond = m_settings.callersMinRate;
    options.onRefused = [this](CallerRefusal refusal) {
        m_callerReport.recordRefusal(refusal);
    };
    return options;
}

/*! @brief Returns the options of a port that takes short requests of the platform and of operators. */
HttpServerOptions ServingApp::internalOptions(const std::string &address)
{
    HttpServerOptions options;
    options.listen = address;
    options.maxBodyBytes = maxInternalBodyBytes;
    options.closePollPeriod = std::chrono::seconds{10};
    options.memory = m_memory;
    options.maxConnections = internalConnections();
    options.onRefused = [this](CallerRefusal refusal) {
        m_callerReport.recordRefusal(refusal);
    };
    return options;
}

EndpointCallsHooks ServingApp::endpointCallsHooks()
{
    EndpointCallsHooks hooks;
    hooks.addIdentity = m_codec.addIdentity;
    hooks.checkIdentity = m_codec.checkIdentity;
    hooks.log = [this](const LogLine &line) {
        log(line);
    };
    hooks.observe = [this](const Observe &observation) {
        observe(observation);
    };
    return hooks;
}

CallerReportHooks ServingApp::callerReportHooks()
{
    CallerReportHooks hooks;
    hooks.observe = [this](const Observe &observation) {
        m_metrics.observe(observation);
    };
    // Past the bound on lines per second, which a crowd reaches.
    hooks.log = [this](const LogLine &line) {
        m_log.write(line);
    };
    return hooks;
}

overload::ConnectionDecision ServingApp::decideConnection(const overload::WaitingConnection &connection)
{
    const overload::ConnectionDecision decision = m_connectionGate.decide(connection, m_loop.now());
    if (decision != overload::ConnectionDecision::Wait) {
        m_metrics.observe(Observe{Metric::ConnectionsTotal, {std::string{enumName(decision)}}});
    }
    return decision;
}

TrafficHook ServingApp::trafficHook()
{
    return [this](std::size_t received, std::size_t sent) {
        m_loadMeter.recordTraffic(received, sent, m_loop.now());
    };
}

void ServingApp::recordRound(const RoundFigures &figures)
{
    const TimePoint now = m_loop.now();
    m_loadMeter.recordBusy(figures.busy, now);
    if (figures.lateness) {
        m_loadMeter.recordLateness(*figures.lateness, now);
    }
    if (now - m_processorTimeReadAt >= processorTimePeriod) {
        m_processorTimeReadAt = now;
        m_loadMeter.recordProcessorTime(processorTime(), now);
    }
}

void ServingApp::reportLoad()
{
    m_callerReport.report();
    const overload::LoadShares load = m_loadMeter.recent(m_loop.now());
    m_metrics.observe(Observe{Metric::LoadShare, {"processor"}, load.processor});
    m_metrics.observe(Observe{Metric::LoadShare, {"link"}, load.link});
    if (load.highest() >= highLoad) {
        // Past the bound on lines per second, which is reached just then.
        m_log.write(
            {Severity::Warning,
             Part::Entry,
             "The process is heavily loaded.",
             {{"processor", absl::StrCat(load.processor)},
              {"link", absl::StrCat(load.link)},
              {"late_ms", absl::StrCat(m_loadMeter.recentLateness(m_loop.now()) / std::chrono::milliseconds{1})},
              {"callers", absl::StrCat(m_callers.size())},
              {"runs", absl::StrCat(m_runs.size())}}});
    }
    m_loop.at(m_loop.now() + loadReportPeriod, [this] { reportLoad(); });
}

void ServingApp::handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    m_loadMeter.recordRequest(m_loop.now());
    m_connectionGate.recordRequest(m_loop.now());
    if (!checkHeadSize(request, *responder)) {
        return;
    }
    const CallId call{++m_lastCallId};
    auto read = m_codec.decodeRequest(call, std::move(request));
    if (!read.ok()) {
        log({Severity::Info,
             Part::Net,
             "A malformed request was rejected.",
             {{"reason", std::string{read.status().message()}}}});
        responder->respond({400, {}, {}});
        return;
    }
    responder->onClosed([this, call] {
        if (m_callers.erase(call) != 0) {
            m_runner.submit(CallerDisconnected{call});
        }
    });
    m_callers.emplace(call, Caller{responder, read->attempt});
    m_runner.submit(RequestArrived{*std::move(read)});
}

/*! @brief Answers 431 and returns false if the request head exceeds the limit; the server limits the body. */
bool ServingApp::checkHeadSize(const HttpRequest &request, HttpResponder &responder)
{
    const std::size_t bytes = request.method.size() + requestTarget(request).size() + headerBytes(request.headers);
    if (bytes <= m_limits.maxHeadBytes) {
        return true;
    }
    log({Severity::Info,
         Part::Net,
         "A request was rejected: its head is too large.",
         {{"bytes", absl::StrCat(bytes)}, {"most", absl::StrCat(m_limits.maxHeadBytes)}}});
    responder.respond({statusHeadTooLarge, {}, {}});
    return false;
}

PeerPortHooks ServingApp::peerHooks()
{
    PeerPortHooks hooks;
    hooks.submit = [this](Event event) {
        m_runner.submit(std::move(event));
    };
    hooks.heartbeat = [this](const std::string &to) {
        return m_reducer.heartbeat(to, m_loop.now());
    };
    hooks.log = [this](const LogLine &line) {
        log(line);
    };
    return hooks;
}

ServingApp::Caller ServingApp::extractCaller(CallId call)
{
    const auto node = m_callers.extract(call);
    return node.empty() ? Caller{} : std::move(node.mapped());
}

void ServingApp::carryOut(Effect effect)
{
    std::visit([this](auto &value) { carryOut(std::move(value)); }, effect);
}

void ServingApp::carryOut(const SendErrorResponse &effect)
{
    const Caller caller = extractCaller(effect.call);
    if (caller.responder) {
        caller.responder->respond(m_codec.encodeErrorResponse(effect, caller.attempt));
    }
}

void ServingApp::carryOut(SendResponse &&effect)
{
    const Caller caller = extractCaller(effect.call);
    if (caller.responder) {
        caller.responder->respond({effect.status, std::move(effect.headers), std::move(effect.body)});
    }
}

void ServingApp::carryOut(const BeginStream &effect)
{
    const auto found = m_callers.find(effect.call);
    if (found != m_callers.end()) {
        found->second.responder->begin(effect.status, effect.headers);
    }
}

void ServingApp::carryOut(const SendStreamEvents &effect)
{
    const auto found = m_callers.find(effect.call);
    if (found == m_callers.end()) {
        return;
    }
    const auto responder = found->second.responder;
    responder->send(effect.bytes);
    if (responder->unsent() > maxUnsentBytes) {
        m_callers.erase(found);
        responder->abort();
        m_runner.submit(CallerDisconnected{effect.call});
    }
}

void ServingApp::carryOut(const FinishStream &effect)
{
    const Caller caller = extractCaller(effect.call);
    if (caller.responder) {
        caller.responder->finish();
    }
}

void ServingApp::carryOut(const AbortStream &effect)
{
    const Caller caller = extractCaller(effect.call);
    if (caller.responder) {
        caller.responder->abort();
    }
}

void ServingApp::carryOut(const StartRun &effect)
{
    const RunNumber run = effect.run;
    HttpCallHooks hooks;
    hooks.head = [this, run, instance = effect.instance](int status, const HttpHeaders &headers) {
        receiveHead(run, instance, status, headers);
    };
    hooks.piece = [this, run](std::string_view piece) {
        receivePiece(run, piece);
    };
    hooks.done = [this, run](const HttpResponse &) {
        if (m_runs.erase(run) != 0) {
            m_runner.submit(RunCompleted{run});
        }
    };
    hooks.failed = [this, run](HttpFailure failure) {
        failRun(run, failure);
    };
    m_runs[run] = Run{{}, effect.request};
    m_runs[run].call = m_endpointClient.call(effect.address, m_codec.encodeRun(effect), std::move(hooks));
}

void ServingApp::receiveHead(RunNumber run, const InstanceName &instance, int status, const HttpHeaders &headers)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    const Run kept = found->second;
    submitNotice(instance, kept.request->attempt, status, headers);
    std::size_t announced = 0;
    const std::string_view length = headerValue(headers, "content-length");
    // The client ends the call of a larger one.
    if (absl::SimpleAtoi(absl::string_view{length.data(), length.size()}, &announced)
        && !reserveResponse(kept, std::min(announced, HttpClientOptions{}.maxBodyBytes))) {
        return;
    }
    m_runner.submit(RunHeadReceived{run, m_codec.decodeResponseHead(*kept.request, status, headers)});
}

void ServingApp::receivePiece(RunNumber run, std::string_view piece)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    found->second.bodyBytes += piece.size();
    const Run kept = found->second;
    if (reserveResponse(kept, kept.bodyBytes)) {
        m_runner.submit(RunBodyReceived{run, std::string{piece}});
    }
}

/*! @brief Charges a caller for a response that is being received; ends its request and returns false without room. */
bool ServingApp::reserveResponse(const Run &run, std::size_t bytes)
{
    const auto caller = m_callers.find(run.request->call);
    if (caller == m_callers.end() || caller->second.responder->reserve(bytes)) {
        return true;
    }
    extractCaller(run.request->call).responder->respond({statusBadGateway, {}, {}});
    m_runner.submit(CallerDisconnected{run.request->call});
    return false;
}

/*! @brief Reports what an endpoint said of itself in a response, before the response itself is handled. */
void ServingApp::submitNotice(const InstanceName &instance, const std::string &attempt, int status,
                              const HttpHeaders &headers)
{
    if (auto notice = m_codec.decodeNotice(attempt, status, headers)) {
        m_runner.submit(EndpointResponded{instance, *std::move(notice)});
    }
}

/*! @brief Returns the hook for the responses to requests that belong to no attempt. */
std::function<void(int status, const HttpHeaders &headers)> ServingApp::noticeHook(const InstanceName &instance)
{
    return [this, instance](int status, const HttpHeaders &headers) {
        submitNotice(instance, {}, status, headers);
    };
}

void ServingApp::failRun(RunNumber run, HttpFailure failure)
{
    if (m_runs.erase(run) == 0) {
        return;
    }
    m_runner.submit(RunFailed{run, wasNothingSent(failure) ? RunFailure::ConnectFailed : RunFailure::Broken});
}

void ServingApp::carryOut(const CancelRun &effect)
{
    const auto node = m_runs.extract(effect.run);
    if (!node.empty()) {
        m_endpointClient.cancel(node.mapped().call);
    }
}

void ServingApp::carryOut(const CheckEndpoint &effect)
{
    HttpCallHooks hooks;
    hooks.head = noticeHook(effect.instance);
    hooks.done = [this, instance = effect.instance](const HttpResponse &answer) {
        m_runner.submit(EndpointChecked{instance, m_codec.decodeCheck(answer)});
    };
    hooks.failed = [this, instance = effect.instance](HttpFailure failure) {
        m_runner.submit(EndpointChecked{instance, stateAfterFailure(failure)});
    };
    // A pooled connection may have ended with the process.
    m_endpointClient.call(effect.address, m_codec.encodeCheck(effect), std::move(hooks), Connection::Fresh);
}

void ServingApp::carryOut(const ListCachedPrompts &effect)
{
    const InstanceName instance = effect.instance;
    HttpCallHooks hooks;
    hooks.head = noticeHook(instance);
    hooks.done = [this, instance](const HttpResponse &answer) {
        m_runner.submit(CachedPromptsListed{instance, m_codec.decodeCachedPrompts(answer)});
    };
    hooks.failed = [this, instance](HttpFailure) {
        m_runner.submit(CachedPromptsListed{instance, std::nullopt});
    };
    const HttpCallId call =
        m_endpointCalls.call(instance, effect.address, m_codec.encodeListCachedPrompts(instance), std::move(hooks));
    // The reducer does not wait longer.
    m_loop.at(m_loop.now() + effect.timeout, [this, call] { m_endpointClient.cancel(call); });
}

void ServingApp::carryOut(const StartStageCall &effect)
{
    const StageCallNumber call = effect.call;
    HttpCallHooks hooks;
    hooks.head = noticeHook(effect.instance);
    hooks.done = [this, call, items = effect.items.size()](const HttpResponse &answer) {
        if (m_stageCalls.erase(call) != 0) {
            m_runner.submit(m_codec.decodeStageResponse(call, items, answer));
        }
    };
    hooks.failed = [this, call](HttpFailure failure) {
        if (m_stageCalls.erase(call) != 0) {
            m_runner.submit(StageCallEnded{
                call, wasNothingSent(failure) ? StageCallStatus::ConnectFailed : StageCallStatus::Broken, {}});
        }
    };
    m_stageCalls[call] =
        m_endpointCalls.call(effect.instance, effect.address, m_codec.encodeStageCall(effect), std::move(hooks));
}

void ServingApp::carryOut(const CancelStageCall &effect)
{
    const auto node = m_stageCalls.extract(effect.call);
    if (!node.empty()) {
        m_endpointClient.cancel(node.mapped());
    }
}

void ServingApp::carryOut(const ReleaseResults &effect)
{
    HttpCallHooks hooks;
    hooks.head = noticeHook(effect.instance);
    hooks.done = [](const HttpResponse &) {
    };
    hooks.failed = [this, address = effect.address](HttpFailure failure) {
        // No retry needed: the results expire at the endpoint.
        log({Severity::Info,
             Part::Net,
             "Results could not be released at their endpoint.",
             {{"address", address}, {"reason", std::string{enumName(failure)}}}});
    };
    m_releaseClient.call(effect.address, m_codec.encodeRelease(effect.handles), std::move(hooks));
}

void ServingApp::carryOut(const DelegateTask &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const CancelDelegatedTask &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const CompletePeerTask &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const NotifyReleasedResults &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const LookUpStream &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const ConfirmEndpoints &)
{
    if (!m_confirmStore) {
        leaveUnconfirmed();
        return;
    }
    m_confirmStore();
}

void ServingApp::carryOut(const ReadFormerEndpoints &)
{
    if (!m_readStoreHistory) {
        setFormerEndpoints({});
        return;
    }
    m_readStoreHistory();
}

void ServingApp::carryOut(const AnswerStreamQuery &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const SendHeartbeat &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const Drained &)
{
    if (std::exchange(m_isFinishingDrain, true)) {
        return;
    }
    finishDrain();
}

void ServingApp::finishDrain()
{
    const TimePoint earliest = m_drainStartedAt + balancerRemovalTime;
    if (m_loop.now() < earliest || m_reducer.requestsInProgress() != 0) {
        m_loop.at(std::max(earliest, m_loop.now() + flushDelay), [this] { finishDrain(); });
        return;
    }
    log({Severity::Info, Part::Entry, "The drain has finished; the process exits.", {}});
    m_callersServer.shutdown();
    m_loop.at(m_loop.now() + flushDelay, [this] { m_loop.stop(); });
}

void ServingApp::carryOut(const LogLine &line)
{
    log(line);
}

void ServingApp::carryOut(const Observe &observation)
{
    m_metrics.observe(observation);
}

} // namespace bergamottide
