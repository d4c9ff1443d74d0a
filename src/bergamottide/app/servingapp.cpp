#include "bergamottide/app/servingapp.h"

#include "bergamottide/telemetry/outputappender.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include <unistd.h>

namespace bergamottide {

namespace {

using namespace serving;

/*! @brief Largest body of a caller that is read before a configuration tells the limit. */
constexpr std::size_t maxBodyBytes = 16U << 20U;
/*! @brief Colon, space and line end of a header line. */
constexpr std::size_t headerLineExtra = 4;
constexpr int statusHeadTooLarge = 431;
/*! @brief Time for which a caller's connection may be idle: above the limit that callers are told. */
constexpr Duration callersIdleTimeout = std::chrono::seconds{60};
/*! @brief A caller that left is noticed this late at most, so that its endpoint stops within half a second. */
constexpr Duration closePollPeriod = std::chrono::milliseconds{150};
/*! @brief Time for which bytes may stay unacknowledged before a connection is given up: a partition, not a lost packet.
 */
constexpr Duration unacknowledged = std::chrono::milliseconds{3000};
/*! @brief Longest wait for a connection to an endpoint: some round trips; a lost packet is sent again later than that.
 */
constexpr Duration connectTimeout = std::chrono::milliseconds{400};
/*! @brief Silence of an endpoint after which a call to it is broken; the limits of requests are shorter as a rule. */
constexpr Duration endpointSilence = std::chrono::seconds{20};
/*! @brief Bytes that may wait for a caller that reads slowly. */
constexpr std::size_t maxUnsentBytes = 1U << 20U;
/*! @brief Time after the request to stop in which the balancer may still send connections here: two misses, one a
 * second. */
constexpr Duration rotationTime = std::chrono::milliseconds{3500};
/*! @brief Time before the kill by which the process ends by itself. */
constexpr Duration endMargin = std::chrono::milliseconds{500};
/*! @brief Time after the last answer before the process ends: its bytes are with the kernel by then. */
constexpr Duration flushTime = std::chrono::milliseconds{300};

HttpServerOptions callersOptions(const ServingSettings &settings)
{
    HttpServerOptions options;
    options.listen = settings.callersAddress;
    options.maxBodyBytes = maxBodyBytes;
    options.idleTimeout = callersIdleTimeout;
    options.closePollPeriod = closePollPeriod;
    options.unacknowledged = unacknowledged;
    return options;
}

HttpServerOptions readyOptions(const ServingSettings &settings)
{
    HttpServerOptions options;
    options.listen = settings.readyAddress;
    options.closePollPeriod = std::chrono::seconds{10};
    return options;
}

HttpClientOptions endpointOptions()
{
    HttpClientOptions options;
    options.ioTimeout = endpointSilence;
    options.connectTimeout = connectTimeout;
    options.unacknowledged = unacknowledged;
    return options;
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
    options.self = {settings.instance, settings.peersAddress, settings.strength(), settings.zone};
    options.seeds = settings.seeds;
    options.regions = settings.zones;
    options.incarnation = static_cast<std::uint64_t>(incarnation);
    options.retries = retryOptions(settings);
    return options;
}

} // namespace

ServingApp::ServingApp(Loop &loop, const Clock &clock, const ServingSettings &settings, ServingCodec codec,
                       Incarnation incarnation)
    : m_loop{loop}
    , m_settings{settings}
    , m_codec{std::move(codec)}
    , m_log{LogOptions{LogFormat::Json, settings.logLevel, settings.instance}, clock,
            log4cplus::SharedAppenderPtr{new OutputAppender{STDOUT_FILENO}}}
    , m_reducer{servingOptions(settings, incarnation)}
    , m_reactor{loop, m_reducer,
                [this](Effect effect) {
                    carryOut(std::move(effect));
                }}
    , m_endpoints{loop, endpointOptions()}
    , m_peers{loop, settings.peersAddress, peerHooks()}
    , m_callersServer{loop, callersOptions(settings),
                      [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) {
                          handle(std::move(request), responder);
                      }}
    , m_readyServer{loop, readyOptions(settings),
                    [this](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
                        responder->answer({m_reducer.canServe() ? 200 : 503, {}, {}});
                    }}
{
    if (!settings.metricsAddress.empty()) {
        HttpServerOptions options = readyOptions(settings);
        options.listen = settings.metricsAddress;
        m_metricsServer.emplace(
            loop, options, [this](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
                responder->answer({200, {{"content-type", "text/plain; version=0.0.4"}}, m_metrics.text()});
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
        m_reactor.submit(Tick{});
        watchDirectory();
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
    m_drainSince = m_loop.now();
    m_loop.at(m_drainSince + m_settings.gracePeriod - endMargin, [this] { m_loop.stop(); });
    m_callersServer.closeAfterAnswers();
    m_reactor.submit(DrainRequested{});
}

void ServingApp::reload(const ServingSettings &settings)
{
    const bool needsRestart = settings.callersAddress != m_settings.callersAddress
        || settings.readyAddress != m_settings.readyAddress || settings.peersAddress != m_settings.peersAddress
        || settings.storeAddress != m_settings.storeAddress || settings.metricsAddress != m_settings.metricsAddress
        || settings.instance != m_settings.instance || settings.logLevel != m_settings.logLevel;
    log({needsRestart ? Severity::Warning : Severity::Info,
         Part::Entry,
         "The settings have changed.",
         {{"seeds", absl::StrCat(settings.seeds.size())},
          {"grace_ms", absl::StrCat(settings.gracePeriod / std::chrono::milliseconds{1})},
          {"needs_restart", needsRestart ? "yes" : "no"}}});
    m_settings.gracePeriod = settings.gracePeriod;
    m_reactor.submit(SettingsChanged{settings.seeds, retryOptions(settings)});
}

void ServingApp::setCatalog(std::shared_ptr<const Catalog> catalog)
{
    if (catalog->version <= m_catalogVersion) {
        return;
    }
    m_catalogVersion = catalog->version;
    m_limits = catalog->limits;
    m_callersServer.setMaxBodyBytes(m_limits.maxBodyBytes);
    m_reactor.submit(CatalogChanged{std::move(catalog)});
}

EndpointDirectory &ServingApp::directory() noexcept
{
    return m_directory;
}

void ServingApp::endpointsChanged()
{
    if (auto list = m_directory.takeChange(m_loop.now())) {
        m_reactor.submit(EndpointsChanged{std::move(list)});
    }
}

void ServingApp::log(const LogLine &line)
{
    if (const auto summary = m_logGate.summary(m_loop.now())) {
        m_log.write(*summary);
    }
    if (m_logGate.admits(line, m_loop.now())) {
        m_log.write(line);
    }
    countLoss();
}

void ServingApp::countLoss()
{
    const std::uint64_t lost = m_logGate.dropped();
    if (lost != m_countedLoss) {
        m_metrics.observe(Observe{Metric::LogLinesDroppedTotal, {}, static_cast<double>(lost - m_countedLoss)});
        m_countedLoss = lost;
    }
}

std::vector<PeerInfo> ServingApp::livePeers() const
{
    return m_reducer.livePeers(m_loop.now());
}

std::vector<std::string> ServingApp::readers() const
{
    return m_reducer.readers(m_loop.now());
}

void ServingApp::onPublishedAsked(PublishedAnswers answers)
{
    m_peers.onPublishedAsked(std::move(answers));
}

void ServingApp::askPublished(const PeerInfo &peer, const std::string &query,
                              std::function<void(const std::string &body)> then)
{
    m_peers.askPublished(peer, query, std::move(then));
}

void ServingApp::watchDirectory()
{
    endpointsChanged();
    m_loop.at(m_loop.now() + longestTick, [this] { watchDirectory(); });
}

void ServingApp::handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    if (!isWithinLimits(request, *responder)) {
        return;
    }
    const CallId call{++m_lastCall};
    auto read = m_codec.readRequest(call, std::move(request));
    if (!read.ok()) {
        log({Severity::Info,
             Part::Net,
             "A request cannot be read.",
             {{"reason", std::string{read.status().message()}}}});
        responder->answer({400, {}, {}});
        return;
    }
    responder->onClosed([this, call] {
        if (m_callers.erase(call) != 0) {
            m_reactor.submit(CallerLeft{call});
        }
    });
    m_callers.emplace(call, Caller{responder, read->attempt});
    m_reactor.submit(RequestArrived{*std::move(read)});
}

/*! @brief Answers a request whose head is larger than the configuration allows; the body is bounded as it is read. */
bool ServingApp::isWithinLimits(const HttpRequest &request, HttpResponder &responder)
{
    std::size_t bytes = request.method.size() + request.path.size() + request.query.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size() + headerLineExtra;
    }
    if (bytes <= m_limits.maxHeadBytes) {
        return true;
    }
    log({Severity::Info,
         Part::Net,
         "A request's head is too large.",
         {{"bytes", absl::StrCat(bytes)}, {"most", absl::StrCat(m_limits.maxHeadBytes)}}});
    responder.answer({statusHeadTooLarge, {}, {}});
    return false;
}

PeerPortHooks ServingApp::peerHooks()
{
    PeerPortHooks hooks;
    hooks.submit = [this](Event event) {
        m_reactor.submit(std::move(event));
    };
    hooks.heartbeat = [this](const std::string &to) {
        return m_reducer.heartbeat(to, m_loop.now());
    };
    hooks.log = [this](const LogLine &line) {
        log(line);
    };
    return hooks;
}

ServingApp::Caller ServingApp::takeCaller(CallId call)
{
    const auto node = m_callers.extract(call);
    return node.empty() ? Caller{} : std::move(node.mapped());
}

void ServingApp::carryOut(Effect effect)
{
    std::visit([this](const auto &one) { carryOut(one); }, effect);
}

void ServingApp::carryOut(const RefuseCaller &effect)
{
    const Caller caller = takeCaller(effect.call);
    if (caller.responder) {
        caller.responder->answer(m_codec.writeRefusal(effect, caller.attempt));
    }
}

void ServingApp::carryOut(const AnswerCaller &effect)
{
    const Caller caller = takeCaller(effect.call);
    if (caller.responder) {
        caller.responder->answer({effect.status, effect.headers, effect.body});
    }
}

void ServingApp::carryOut(const BeginStream &effect)
{
    const auto found = m_callers.find(effect.call);
    if (found != m_callers.end()) {
        found->second.responder->begin(effect.status, effect.headers);
    }
}

void ServingApp::carryOut(const StreamEvents &effect)
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
        m_reactor.submit(CallerLeft{effect.call});
    }
}

void ServingApp::carryOut(const FinishStream &effect)
{
    const Caller caller = takeCaller(effect.call);
    if (caller.responder) {
        caller.responder->finish();
    }
}

void ServingApp::carryOut(const AbortStream &effect)
{
    const Caller caller = takeCaller(effect.call);
    if (caller.responder) {
        caller.responder->abort();
    }
}

void ServingApp::carryOut(const StartRun &effect)
{
    const RunNumber run = effect.run;
    HttpCallHooks hooks;
    hooks.head = [this, run](int status, const HttpHeaders &headers) {
        const auto found = m_runs.find(run);
        if (found != m_runs.end()) {
            m_reactor.submit(RunAnswered{run, m_codec.readAnswerHead(*found->second.request, status, headers)});
        }
    };
    hooks.piece = [this, run](std::string_view piece) {
        if (m_runs.contains(run)) {
            m_reactor.submit(RunReceived{run, std::string{piece}});
        }
    };
    hooks.done = [this, run](const HttpAnswer &) {
        if (m_runs.erase(run) != 0) {
            m_reactor.submit(RunEnded{run});
        }
    };
    hooks.failed = [this, run](HttpFailure failure) {
        failRun(run, failure);
    };
    m_runs[run] = Run{{}, effect.request};
    m_runs[run].call = m_endpoints.call(effect.address, m_codec.writeRun(effect), std::move(hooks));
}

void ServingApp::failRun(RunNumber run, HttpFailure failure)
{
    if (m_runs.erase(run) == 0) {
        return;
    }
    m_reactor.submit(RunFailed{run, failure == HttpFailure::Connect ? RunFailure::Unreached : RunFailure::Broken});
}

void ServingApp::carryOut(const CancelRun &effect)
{
    const auto node = m_runs.extract(effect.run);
    if (!node.empty()) {
        m_endpoints.cancel(node.mapped().call);
    }
}

void ServingApp::carryOut(const StartStageCall &effect)
{
    const StageCallNumber call = effect.call;
    HttpCallHooks hooks;
    hooks.done = [this, call, items = effect.items.size()](const HttpAnswer &answer) {
        if (m_stageCalls.erase(call) != 0) {
            m_reactor.submit(m_codec.readStageAnswer(call, items, answer));
        }
    };
    hooks.failed = [this, call](HttpFailure failure) {
        if (m_stageCalls.erase(call) != 0) {
            m_reactor.submit(StageCallEnded{
                call, failure == HttpFailure::Connect ? StageCallEnd::Unreached : StageCallEnd::Broken, {}});
        }
    };
    m_stageCalls[call] = m_endpoints.call(effect.address, m_codec.writeStageCall(effect), std::move(hooks));
}

void ServingApp::carryOut(const CancelStageCall &effect)
{
    const auto node = m_stageCalls.extract(effect.call);
    if (!node.empty()) {
        m_endpoints.cancel(node.mapped());
    }
}

void ServingApp::carryOut(const FreeResults &effect)
{
    HttpCallHooks hooks;
    hooks.done = [](const HttpAnswer &) {
    };
    hooks.failed = [this, address = effect.address](HttpFailure failure) {
        // Nothing is lost: the results lapse by themselves.
        log({Severity::Info,
             Part::Net,
             "Results could not be given up.",
             {{"address", address}, {"reason", std::string{enumName(failure)}}}});
    };
    m_endpoints.call(effect.address, m_codec.writeRelease(effect.handles), std::move(hooks));
}

void ServingApp::carryOut(const HandTask &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const RecallTask &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const AnswerPeerTask &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const TellReleased &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const SendHeartbeat &effect)
{
    m_peers.carryOut(effect);
}

void ServingApp::carryOut(const Drained &)
{
    if (std::exchange(m_ending, true)) {
        return;
    }
    finishDrain();
}

void ServingApp::finishDrain()
{
    const TimePoint earliest = m_drainSince + rotationTime;
    if (m_loop.now() < earliest || m_reducer.inProgress() != 0) {
        m_loop.at(std::max(earliest, m_loop.now() + flushTime), [this] { finishDrain(); });
        return;
    }
    log({Severity::Info, Part::Entry, "The process ends.", {}});
    m_callersServer.shutdown();
    m_loop.at(m_loop.now() + flushTime, [this] { m_loop.stop(); });
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
