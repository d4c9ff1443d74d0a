#pragma once

#include "bergamottide/app/callerreport.h"
#include "bergamottide/app/endpointcalls.h"
#include "bergamottide/app/peerport.h"
#include "bergamottide/app/reducerrunner.h"
#include "bergamottide/events/events.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/overload/connectiongate.h"
#include "bergamottide/overload/loadmeter.h"
#include "bergamottide/overload/memoryaccount.h"
#include "bergamottide/pools/endpointdirectory.h"
#include "bergamottide/serving/servingreducer.h"
#include "bergamottide/serving/servingsettings.h"
#include "bergamottide/telemetry/loggate.h"
#include "bergamottide/telemetry/logsink.h"
#include "bergamottide/telemetry/metricsregistry.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief Functions that read and write the platform's HTTP formats. */
struct ServingCodec
{
    std::function<absl::StatusOr<serving::CallerRequest>(CallId call, HttpRequest request)> decodeRequest;
    std::function<HttpRequest(const serving::StartRun &run)> encodeRun;
    /*! @brief Returns nothing if another instance than the expected one has responded. */
    std::function<std::optional<serving::EndpointNotice>(const std::string &attempt, int status,
                                                         const HttpHeaders &headers)>
        decodeNotice;
    std::function<serving::EndpointResponseHead(const serving::CallerRequest &request, int status,
                                                const HttpHeaders &headers)>
        decodeResponseHead;
    std::function<HttpResponse(const serving::SendErrorResponse &refusal, const std::string &attempt)>
        encodeErrorResponse;
    std::function<void(HttpRequest &request, const std::string &identity)> addIdentity;
    std::function<AnswerIdentity(const std::string &identity, const HttpHeaders &headers)> checkIdentity;
    std::function<HttpRequest(const serving::StartStageCall &call)> encodeStageCall;
    std::function<serving::StageCallEnded(serving::StageCallNumber call, std::size_t items, const HttpResponse &answer)>
        decodeStageResponse;
    std::function<HttpRequest(const std::vector<std::string> &handles)> encodeRelease;
    std::function<HttpRequest(const serving::CheckEndpoint &check)> encodeCheck;
    std::function<serving::EndpointState(const HttpResponse &answer)> decodeCheck;
    std::function<HttpRequest(const InstanceName &instance)> encodeListCachedPrompts;
    /*! @brief Returns nothing if the response does not tell. */
    std::function<std::optional<std::vector<engines::PromptPart>>(const HttpResponse &answer)> decodeCachedPrompts;
};

/**
 * @brief Process that serves callers and calls endpoints directly; connects a `ServingReducer` with its sockets.
 *
 * The configuration and the endpoints are passed in through `setCatalog` and `endpointDirectory`.
 */
class ServingApp
{
public:
    /**
     * @brief Creates an app that does not listen yet.
     * @param loop Event loop; outlives the app.
     * @param clock Source of time; outlives the app.
     * @param settings Settings.
     * @param codec Formats of requests and responses.
     * @param incarnation Number that identifies this start of the process.
     */
    ServingApp(Loop &loop, const Clock &clock, const serving::ServingSettings &settings, ServingCodec codec,
               Incarnation incarnation);

    /*! @brief Opens the ports. */
    [[nodiscard]] absl::Status start();

    /*! @brief Returns the listen address for callers, with the actual port. */
    [[nodiscard]] std::string callersAddress() const;

    /*! @brief Returns whether a request could be served now. */
    [[nodiscard]] bool canServe() const;

    /*! @brief Starts a graceful shutdown, which ends by stopping the loop. */
    void drain();

    /**
     * @brief Applies changed seeds, retry limits, released requests and grace period; other settings need a restart.
     * @param settings Settings.
     */
    void applySettings(const serving::ServingSettings &settings);

    /**
     * @brief Activates a catalog unless its version is not newer than the active one.
     * @param catalog Catalog to activate.
     */
    void setCatalog(std::shared_ptr<const serving::Catalog> catalog);

    /*! @brief Returns the endpoint directory; call `applyEndpointChanges` after changing it. */
    [[nodiscard]] serving::EndpointDirectory &endpointDirectory() noexcept;

    /*! @brief Passes changes of the endpoint directory to the reducer. */
    void applyEndpointChanges();

    /*!
     * @brief Tells the reducer that the directory contains all changes of the list up to a time; call
     * `applyEndpointChanges` before.
     */
    void confirmEndpoints(TimePoint asOf);

    /*! @brief Tells the reducer that the list could not be confirmed when the handler `StoreHandlers::confirm` was
     * called. */
    void leaveUnconfirmed();

    /*! @brief Tells the reducer which endpoints the list has lately had, after `StoreHandlers::readHistory` was called.
     */
    void setFormerEndpoints(serving::FormerEndpointsRead former);

    /*! @brief Writes a line to the log. */
    void log(const LogLine &line);

    /*! @brief Updates a metric. */
    void observe(const Observe &observation);

    /*! @brief Returns the peers whose heartbeats are recent. */
    [[nodiscard]] std::vector<serving::PeerInfo> livePeers() const;

    /*! @brief Returns whether the initial discovery of the fleet is over. */
    [[nodiscard]] bool isFleetKnown() const;

    /*! @brief Returns the peers that read the platform's store for this process; none if it reads the store itself. */
    [[nodiscard]] std::vector<std::string> storeReaders() const;

    /**
     * @brief Sets the handlers of peers' requests for the data of the platform's store.
     * @param handlers Handlers.
     */
    void setStoreHandlers(StoreHandlers handlers);

    /**
     * @brief Requests the data of the platform's store from a peer.
     * @param peer Peer to ask.
     * @param query Query string for the peer's handlers.
     * @param onAnswer Called with the response; not called without one.
     */
    void requestStoreSnapshot(const serving::PeerInfo &peer, const QueryParameters &query,
                              std::function<void(const HttpResponse &answer)> onAnswer);

private:
    /*! @brief A caller whose response is not complete. */
    struct Caller
    {
        std::shared_ptr<HttpResponder> responder;
        std::string attempt;
    };

    struct Run
    {
        HttpCallId call{};
        std::shared_ptr<const serving::CallerRequest> request;
        /*! @brief Bytes of the response body so far. */
        std::size_t bodyBytes{};
    };

    void handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void carryOut(serving::Effect effect);
    void carryOut(const serving::SendErrorResponse &effect);
    void carryOut(serving::SendResponse &&effect);
    void carryOut(const serving::BeginStream &effect);
    void carryOut(const serving::SendStreamEvents &effect);
    void carryOut(const serving::FinishStream &effect);
    void carryOut(const serving::AbortStream &effect);
    void carryOut(const serving::StartRun &effect);
    void carryOut(const serving::CancelRun &effect);
    void carryOut(const serving::CheckEndpoint &effect);
    void carryOut(const serving::StartStageCall &effect);
    void carryOut(const serving::CancelStageCall &effect);
    void carryOut(const serving::ReleaseResults &effect);
    void carryOut(const serving::DelegateTask &effect);
    void carryOut(const serving::CancelDelegatedTask &effect);
    void carryOut(const serving::CompletePeerTask &effect);
    void carryOut(const serving::NotifyReleasedResults &effect);
    void carryOut(const serving::LookUpStream &effect);
    void carryOut(const serving::AnswerStreamQuery &effect);
    void carryOut(const serving::ListCachedPrompts &effect);
    void carryOut(const serving::ConfirmEndpoints &effect);
    void carryOut(const serving::ReadFormerEndpoints &effect);
    void carryOut(const serving::SendHeartbeat &effect);
    void carryOut(const serving::Drained &effect);
    void carryOut(const LogLine &effect);
    void carryOut(const Observe &effect);

    [[nodiscard]] PeerPortHooks peerHooks();
    [[nodiscard]] Caller extractCaller(CallId call);
    [[nodiscard]] std::function<void(int status, const HttpHeaders &headers)> noticeHook(const InstanceName &instance);
    void submitNotice(const InstanceName &instance, const std::string &attempt, int status, const HttpHeaders &headers);
    void failRun(serving::RunNumber run, HttpFailure failure);
    void receiveHead(serving::RunNumber run, const InstanceName &instance, int status, const HttpHeaders &headers);
    void receivePiece(serving::RunNumber run, std::string_view piece);
    [[nodiscard]] bool reserveResponse(const Run &run, std::size_t bytes);
    void finishDrain();
    void pollDirectory();
    [[nodiscard]] bool checkHeadSize(const HttpRequest &request, HttpResponder &responder);
    void countDroppedLines();
    [[nodiscard]] TrafficHook trafficHook();
    [[nodiscard]] HttpServerOptions callersOptions();
    [[nodiscard]] HttpServerOptions internalOptions(const std::string &address);
    [[nodiscard]] CallerReportHooks callerReportHooks();
    [[nodiscard]] EndpointCallsHooks endpointCallsHooks();
    [[nodiscard]] overload::ConnectionDecision decideConnection(const overload::WaitingConnection &connection);
    void recordRound(const RoundFigures &figures);
    void reportLoad();

    Loop &m_loop;
    serving::ServingSettings m_settings;
    ServingCodec m_codec;
    LogSink m_log;
    LogGate m_logGate;
    MetricsRegistry m_metrics;
    overload::LoadMeter m_loadMeter;
    std::shared_ptr<overload::MemoryAccount> m_memory;
    CallerReport m_callerReport;
    overload::ConnectionGate m_connectionGate;
    serving::EndpointDirectory m_directory;
    serving::ServingReducer m_reducer;
    ReducerRunner<serving::ServingReducer, serving::Event, serving::Effect, serving::Tick> m_runner;
    HttpClient m_endpointClient;
    /*! @brief Client of calls whose answers are not needed; its connections carry nothing else. */
    HttpClient m_releaseClient;
    EndpointCalls m_endpointCalls;
    PeerPort m_peers;
    HttpServer m_callersServer;
    HttpServer m_readyServer;
    std::optional<HttpServer> m_metricsServer;
    std::function<void()> m_confirmStore;
    std::function<void()> m_readStoreHistory;
    std::map<CallId, Caller> m_callers;
    std::map<serving::RunNumber, Run> m_runs;
    std::map<serving::StageCallNumber, HttpCallId> m_stageCalls;
    std::uint64_t m_lastCallId{};
    std::uint64_t m_countedDroppedLines{};
    std::uint64_t m_catalogVersion{};
    serving::CallerLimits m_limits;
    TimePoint m_drainStartedAt{};
    TimePoint m_processorTimeReadAt{};
    bool m_draining{};
    bool m_isFinishingDrain{};
};

} // namespace bergamottide
