#pragma once

#include "bergamottide/app/peerport.h"
#include "bergamottide/app/reactor.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/serving/endpointdirectory.h"
#include "bergamottide/serving/events.h"
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

/*! @brief Format of the requests and answers of one platform. */
struct ServingCodec
{
    std::function<absl::StatusOr<serving::CallerRequest>(CallId call, HttpRequest request)> readRequest;
    std::function<HttpRequest(const serving::StartRun &run)> writeRun;
    std::function<serving::EndpointAnswerHead(const serving::CallerRequest &request, int status,
                                              const HttpHeaders &headers)>
        readAnswerHead;
    std::function<HttpAnswer(const serving::RefuseCaller &refusal, const std::string &attempt)> writeRefusal;
    std::function<HttpRequest(const serving::StartStageCall &call)> writeStageCall;
    std::function<serving::StageCallEnded(serving::StageCallNumber call, std::size_t items, const HttpAnswer &answer)>
        readStageAnswer;
    std::function<HttpRequest(const std::vector<std::string> &handles)> writeRelease;
};

/**
 * @brief Process that serves callers and calls endpoints itself: the sockets around `ServingReducer`.
 *
 * What is served comes from outside, by `setCatalog` and `directory`.
 */
class ServingApp
{
public:
    /**
     * @brief Creates the process; nothing is listened to yet.
     * @param loop Loop it runs on; outlives the process.
     * @param clock Source of time; outlives the process.
     * @param settings Settings.
     * @param codec Format of requests and answers.
     * @param incarnation Number that sets this start apart.
     */
    ServingApp(Loop &loop, const Clock &clock, const serving::ServingSettings &settings, ServingCodec codec,
               Incarnation incarnation);

    /*! @brief Starts to listen. */
    [[nodiscard]] absl::Status start();

    /*! @brief Returns the address on which callers are listened for, with the port that the kernel chose. */
    [[nodiscard]] std::string callersAddress() const;

    /*! @brief Tells if a request could be served now. */
    [[nodiscard]] bool canServe() const;

    /*! @brief Begins a graceful shutdown. */
    void drain();

    /**
     * @brief Takes over changed settings: seeds, bounds of repeats, grace period. Others hold until a restart.
     * @param settings Settings.
     */
    void reload(const serving::ServingSettings &settings);

    /**
     * @brief Puts a version of what is served in force, unless a newer one is.
     * @param catalog Version to take over.
     */
    void setCatalog(std::shared_ptr<const serving::Catalog> catalog);

    /*! @brief Returns the directory of endpoints; `endpointsChanged` follows a change of it. */
    [[nodiscard]] serving::EndpointDirectory &directory() noexcept;

    /*! @brief Takes over changes of the directory. */
    void endpointsChanged();

    /*! @brief Writes a line to the log. */
    void log(const LogLine &line);

    /*! @brief Returns the peers that are alive. */
    [[nodiscard]] std::vector<serving::PeerInfo> livePeers() const;

    /*! @brief Returns who reads the platform for this process; none if it reads itself. */
    [[nodiscard]] std::vector<std::string> readers() const;

    /**
     * @brief Sets what answers a peer that asks for what the platform has published.
     * @param answers Answer for all of it, and for changes.
     */
    void onPublishedAsked(PublishedAnswers answers);

    /**
     * @brief Asks a peer for what the platform has published.
     * @param peer Peer to ask.
     * @param query Query that the peer's `onPublishedAsked` understands.
     * @param then Called with the body if there is one.
     */
    void askPublished(const serving::PeerInfo &peer, const std::string &query,
                      std::function<void(const std::string &body)> then);

private:
    /*! @brief A caller that waits for its answer. */
    struct Caller
    {
        std::shared_ptr<HttpResponder> responder;
        std::string attempt;
    };

    /*! @brief A run in progress. */
    struct Run
    {
        HttpCallId call{};
        std::shared_ptr<const serving::CallerRequest> request;
    };

    void handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void carryOut(serving::Effect effect);
    void carryOut(const serving::RefuseCaller &effect);
    void carryOut(const serving::AnswerCaller &effect);
    void carryOut(const serving::BeginStream &effect);
    void carryOut(const serving::StreamEvents &effect);
    void carryOut(const serving::FinishStream &effect);
    void carryOut(const serving::AbortStream &effect);
    void carryOut(const serving::StartRun &effect);
    void carryOut(const serving::CancelRun &effect);
    void carryOut(const serving::StartStageCall &effect);
    void carryOut(const serving::CancelStageCall &effect);
    void carryOut(const serving::FreeResults &effect);
    void carryOut(const serving::HandTask &effect);
    void carryOut(const serving::RecallTask &effect);
    void carryOut(const serving::AnswerPeerTask &effect);
    void carryOut(const serving::TellReleased &effect);
    void carryOut(const serving::SendHeartbeat &effect);
    void carryOut(const serving::Drained &effect);
    void carryOut(const LogLine &effect);
    void carryOut(const Observe &effect);

    [[nodiscard]] PeerPortHooks peerHooks();
    [[nodiscard]] Caller takeCaller(CallId call);
    void failRun(serving::RunNumber run, HttpFailure failure);
    void finishDrain();
    void watchDirectory();
    [[nodiscard]] bool isWithinLimits(const HttpRequest &request, HttpResponder &responder);
    void countLoss();

    Loop &m_loop;
    serving::ServingSettings m_settings;
    ServingCodec m_codec;
    LogSink m_log;
    LogGate m_logGate;
    MetricsRegistry m_metrics;
    serving::EndpointDirectory m_directory;
    serving::ServingReducer m_reducer;
    Reactor<serving::ServingReducer, serving::Event, serving::Effect, serving::Tick> m_reactor;
    HttpClient m_endpoints;
    PeerPort m_peers;
    HttpServer m_callersServer;
    HttpServer m_readyServer;
    std::optional<HttpServer> m_metricsServer;
    std::map<CallId, Caller> m_callers;
    std::map<serving::RunNumber, Run> m_runs;
    std::map<serving::StageCallNumber, HttpCallId> m_stageCalls;
    std::uint64_t m_lastCall{};
    std::uint64_t m_countedLoss{};
    std::uint64_t m_catalogVersion{};
    serving::CallerLimits m_limits;
    TimePoint m_drainSince{};
    bool m_draining{};
    bool m_ending{};
};

} // namespace bergamottide
