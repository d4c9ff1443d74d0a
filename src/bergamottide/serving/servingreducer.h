#pragma once

#include "bergamottide/catalog/regionrule.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/engineplacement.h"
#include "bergamottide/engines/enginetable.h"
#include "bergamottide/events/events.h"
#include "bergamottide/events/requestfingerprint.h"
#include "bergamottide/forecasting/forecasterror.h"
#include "bergamottide/gossip/peers.h"
#include "bergamottide/limits/fairadmission.h"
#include "bergamottide/limits/quarantine.h"
#include "bergamottide/limits/ratelimiter.h"
#include "bergamottide/pools/crashdetector.h"
#include "bergamottide/pools/endpointlistage.h"
#include "bergamottide/pools/endpointnotices.h"
#include "bergamottide/pools/endpointregistry.h"
#include "bergamottide/pools/firsteventtimes.h"
#include "bergamottide/pools/heldreleases.h"
#include "bergamottide/pools/runtimes.h"
#include "bergamottide/retries/retrybudget.h"
#include "bergamottide/serving/request.h"
#include "bergamottide/stages/fetchpaths.h"
#include "bergamottide/stages/stageforecast.h"
#include "bergamottide/stages/stagescheduler.h"
#include "bergamottide/streams/promptsearch.h"
#include "bergamottide/streams/streamversions.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace bergamottide::serving {

/*! @brief Options of a `ServingReducer`. */
struct ServingOptions
{
    RetryBudgetOptions retries;
    /*! @brief This process, as its peers know it. */
    PeerInfo self;
    /*! @brief Addresses of some peers, contacted first to discover the others. */
    std::vector<std::string> seeds;
    /*! @brief Differs for each start of the process. */
    std::uint64_t incarnation{};
    /*! @brief Region of each availability zone. */
    std::map<ZoneName, RegionName> regions;
    /*! @brief Requests and prompt parts that are never quarantined. */
    std::vector<RequestFingerprint> releasedRequests;
    /*! @brief Admission allows for the measured error of forecasts. */
    bool usesForecastMargin{true};
    /*! @brief Scarce stage pools are shared among workspaces also if their endpoints report no pace. */
    bool sharesAllStagePools{};
};

/*! @brief A request in quarantine, for operators. */
struct QuarantinedRequest
{
    RequestFingerprint fingerprint;
    std::size_t crashes{};
    Duration timeLeft{};
};

/*! @brief Prompt parts in quarantine, for operators; requests that have all of them are rejected. */
struct QuarantinedParts
{
    PartCombination parts;
    std::size_t crashes{};
    Duration timeLeft{};
};

/**
 * @brief Handles the requests of a serving process as a deterministic state machine without I/O.
 *
 * Each event updates the state and yields the effects to carry out. A request is admitted or rejected on arrival,
 * passes through its stages and is sent to one endpoint, whose response is forwarded. It is retried only if it may run
 * twice or was provably not executed.
 */
class ServingReducer
{
public:
    explicit ServingReducer(const ServingOptions &options);

    /**
     * @brief Applies one event.
     * @param event Event.
     * @param now Current time.
     * @return Effects to carry out, in order.
     */
    [[nodiscard]] Effects apply(const Event &event, TimePoint now);

    /*! @brief Returns when the next `Tick` is due. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns the number of requests in progress. */
    [[nodiscard]] std::size_t requestsInProgress() const noexcept;

    /*! @brief Returns the live peers, without this process. */
    [[nodiscard]] std::vector<PeerInfo> livePeers(TimePoint now) const;

    /*! @brief Returns whether the initial discovery of the fleet is over, so that roles in it are reliable. */
    [[nodiscard]] bool isFleetKnown(TimePoint now) const;

    /*! @brief Returns the addresses of the peers that read the platform's store for this process; none if it reads the
     * store itself. */
    [[nodiscard]] std::vector<std::string> storeReaders(TimePoint now) const;

    /**
     * @brief Builds the heartbeat for a peer.
     * @param to Address of the peer.
     * @param now Current time.
     */
    [[nodiscard]] Heartbeat heartbeat(const std::string &to, TimePoint now);

    /*! @brief Returns the requests that are rejected because endpoints crash when they run them. */
    [[nodiscard]] std::vector<QuarantinedRequest> quarantinedRequests(TimePoint now) const;

    /*! @brief Returns the prompt parts whose requests are rejected because endpoints crash when they run them. */
    [[nodiscard]] std::vector<QuarantinedParts> quarantinedParts(TimePoint now) const;

    /*! @brief Returns whether the process is ready: it has a catalog and endpoints, and is not draining. */
    [[nodiscard]] bool canServe() const;

private:
    /*! @brief Question about a stream without a record. */
    struct StreamQuestion
    {
        PromptSearch::Asker asker;
        StreamQuery query;
        TimePoint askedAt{};
    };

    /*! @brief Software version at which a new stream is to begin. */
    struct StartingVersion
    {
        /*! @brief Nothing if any will do. */
        std::optional<SoftwareVersion> version;
        /*! @brief The stream begins there even if it begins sooner elsewhere. */
        bool isBinding{};
    };

    void on(const RequestArrived &event);
    void on(const CallerDisconnected &event);
    void on(const EndpointResponded &event);
    void on(const RunHeadReceived &event);
    void on(const RunBodyReceived &event);
    void on(const RunCompleted &event);
    void on(const RunFailed &event);
    void on(const EndpointChecked &event);
    void on(const StageCallEnded &event);
    void on(const CatalogChanged &event);
    void on(const EndpointsChanged &event);
    void on(const EndpointsConfirmed &event);
    void on(const EndpointsUnconfirmed &event);
    void on(const FormerEndpointsRead &event);
    void on(const PeerTaskArrived &event);
    void on(const PeerTaskCancelled &event);
    void on(const DelegatedTaskEnded &event);
    void on(const HeartbeatReceived &event);
    void on(const PeerReleasedResults &event);
    void on(const StreamQueryArrived &event);
    void on(const CachedPromptsListed &event);
    void on(const StreamLookupEnded &event);
    void on(const SettingsChanged &event);
    void on(const DrainRequested &event);
    void on(const Tick &event);

    // Admission.
    void admit(Request request);
    [[nodiscard]] std::optional<ErrorKind> checkAdmission(Request &request);
    [[nodiscard]] Duration minimumStageTime(const Request &request, std::uint32_t belowLevel) const;
    [[nodiscard]] StageForecast forecast(const Request &request);
    [[nodiscard]] std::optional<TimePoint> forecastResponse(const Request &request);
    [[nodiscard]] Duration expectedRunTime(const Request &request);
    [[nodiscard]] bool wouldBeTooLate(Request &request);
    [[nodiscard]] std::optional<Duration> forecastMargin(const Request &request);
    [[nodiscard]] bool isContended(const Request &request);
    void recordForecast(const Request &request, TimePoint responseAt);
    void recordMissedForecast(const Request &request);
    void retainForecastErrors();
    [[nodiscard]] bool tryTakeCapacity(Request &request);
    [[nodiscard]] std::optional<RateCapacity> poolCapacity(const Request &request, TimePoint at);
    [[nodiscard]] PoolName selectPool(const Route &route, const std::string &attempt) const;

    // Drain of this process.
    void limitToDrain(Request &request);
    [[nodiscard]] Duration expectedRunLength(const Request &request) const;
    [[nodiscard]] bool outlastsDrain(const Request &request) const;
    void rejectForDrain(Request &request);
    void rejectOutlastingRequests();

    // Queues owned by peers.
    void submitTask(StageTask task);
    [[nodiscard]] std::vector<ResultMemoryUsage> resultsOfOtherSchedulers(const PoolName &pool,
                                                                          std::uint64_t scheduler) const;
    void submitDeferredTasks();
    void reclaimTasksOfLostPeers();
    [[nodiscard]] bool isQueueOwner(const InstanceName &peer, const PoolName &pool) const;
    void handOverQueues(const std::function<bool(const PoolName &pool)> &isTakenOver);
    void handOverFormerQueues();
    void sendHeartbeats();
    [[nodiscard]] std::optional<PoolEstimate> poolEstimate(const PoolName &pool, int rank,
                                                           const WorkspaceName &workspace);
    [[nodiscard]] std::map<std::pair<PoolName, int>, std::uint64_t> ownUpcomingPieces() const;

    // Stages.
    void advance(Request &request);
    void startLevel(Request &request);
    void startDelayedStages();
    void submitStage(Request &request, std::uint32_t stage);
    [[nodiscard]] ZoneName preferredZone(const Request &request, std::uint32_t stage);
    void processStageOutcomes();
    void handleStageOutcome(const StageOutcome &outcome, std::uint64_t scheduler);
    void handlePeerTaskOutcome(StageTaskId id, const StageOutcome &outcome);
    void handleStageFailure(Request &request, PieceFailure failure);
    [[nodiscard]] static bool mayRestartStages(const Request &request);
    void restartStages(Request &request);
    void releaseResults(StageProgress &stage);
    void cancelStages(Request &request);
    [[nodiscard]] TimePoint inputExpiry(const Request &request, const std::vector<std::uint32_t> &stages) const;
    [[nodiscard]] std::vector<StoredResult> inputsOf(const Request &request,
                                                     const std::vector<std::uint32_t> &stages) const;
    void freeResults(const std::vector<StoredResult> &results);
    [[nodiscard]] bool isResultMemoryScarce(const StoredResult &result);

    // Engines.
    void updateEngines();
    [[nodiscard]] std::map<ZoneName, std::uint64_t> inputBytesByZone(const Request &request);
    void scheduleInputRelease(Request &request, const engines::EngineChoice &choice);
    void releaseFetchedInputs();
    [[nodiscard]] std::optional<engines::EngineChoice> chooseEngine(const Request &request);
    [[nodiscard]] std::optional<engines::EngineChoice> chooseEngineAmong(const std::vector<Endpoint *> &endpoints,
                                                                         const Request &request);

    // Resumed streams.
    void resolveVersion(Request &request);
    [[nodiscard]] bool needsLookup(const Request &request) const;
    [[nodiscard]] StreamQuery queryOf(const Request &request) const;
    [[nodiscard]] bool canLookUp(const Request &request) const;
    [[nodiscard]] bool searchesPrompts(const StreamQuery &query) const;
    void lookUpVersion(Request &request);
    void startDeferredLookups();
    void proveVersion(const PromptSearch::Asker &asker, const StreamQuery &query);
    void requestConfirmation();
    void answerConfirmedQuestions();
    void rejectQuestions(TimePoint askedUntil);
    void readHistory();
    [[nodiscard]] bool isHistoryKnown(TimePoint until) const;
    void searchPrompts(const StreamQuestion &question);
    [[nodiscard]] StartingVersion startingVersion(const Request &request) const;
    [[nodiscard]] std::set<SoftwareVersion> versionsWithPrompt(const Request &request) const;
    void deliverVersion(const PromptSearch::Asker &asker, const std::optional<SoftwareVersion> &version,
                        VersionSource source, std::string_view detail);
    void deliverSearchAnswers();
    void endLookup(CallId call, const std::optional<SoftwareVersion> &version, VersionSource source);
    void recordResumption(const Request &request, VersionSource source);
    void logProvenVersion(const std::optional<SoftwareVersion> &version, VersionSource source, std::string_view detail);
    [[nodiscard]] std::string listAge() const;
    void recordVersion(const Request &request, const SoftwareVersion &version);

    // Runs.
    void startRun(Request &request);
    [[nodiscard]] bool delayRun(Request &request, TimePoint until);
    void startDelayedRuns();
    [[nodiscard]] bool isAllowed(const Request &request, const Endpoint &endpoint) const;
    [[nodiscard]] std::vector<Endpoint *> allowedEndpoints(const Request &request) const;
    [[nodiscard]] std::vector<Endpoint *> candidateEndpoints(const Request &request);
    [[nodiscard]] std::set<ZoneName> inputZones(const Request &request);
    void recordFetch(const Request &request, bool isFetched);
    [[nodiscard]] bool areInputsUnreachable(const Request &request);
    void removeUnreachable(std::vector<Endpoint *> &endpoints, const std::set<ZoneName> &inputs) const;
    void retryOrFail(Request &request, bool mayHaveRun, ErrorKind otherwise);
    [[nodiscard]] bool takeRetry(const Request &request);
    void abortStream(Request &request, const std::string &reason);
    void checkStalledRuns();
    void suspendVerdicts(Duration lateness);
    [[nodiscard]] bool isStalled(const Request &request) const;
    void endRun(Request &request, std::optional<EndpointOutcome> sign);
    void failRun(Request &request, const std::string &reason);
    void forwardResponse(Request &request);

    // Requests that crash endpoints.
    void recordBroken(const EndpointWork &work);
    void recordStageCall(const StageCallEnded &event);
    void recordSuccess(const Request &request);
    void enforceQuarantine();
    void logQuarantineChanges(const QuarantineChanges &changes);
    void endQuarantinedRequests();
    [[nodiscard]] static Suspects suspectsOf(const Request &request);
    [[nodiscard]] std::optional<TimePoint> quarantineEnd(const Request &request) const;
    [[nodiscard]] std::optional<TimePoint> requestQuarantineEnd(const Request &request) const;
    [[nodiscard]] std::optional<TimePoint> promptQuarantineEnd(const Request &request) const;

    // Responses.
    void reject(Request &request, ErrorKind kind, const std::string &reason);
    void finish(Request &request, std::string_view outcome);
    void recordMetrics(const Request &request, std::string_view outcome);
    [[nodiscard]] std::string rejectionReason(const Request &request, ErrorKind kind) const;
    void expireRequests();

    Request *find(CallId call);
    Request *find(RunNumber run);
    void log(const Request &request, std::string text, std::vector<std::pair<std::string, std::string>> fields,
             Severity severity = Severity::Info);

    /*! @brief Task that a peer submitted, with the outcomes so far. */
    struct PeerTask
    {
        PeerTaskNumber number{};
        std::uint32_t pieces{};
        std::vector<StageOutcome> outcomes;
    };

    /*! @brief Longest wait for a confirmation of the list; shorter than the timeout of a peer's question. */
    static constexpr Duration confirmationTimeout = std::chrono::milliseconds{500};
    /*! @brief Time after a failure in which the history is not read again, because each request to the store is
     * metered.
     */
    static constexpr Duration historyRetryPeriod = std::chrono::milliseconds{500};

    TimePoint m_now;
    Effects m_effects;
    std::shared_ptr<const Catalog> m_catalog;
    EndpointRegistry m_endpoints;
    RetryBudget m_retryBudget;
    RegionRule m_regions;
    Peers m_peers;
    RateLimiter m_rateLimiter;
    FetchPaths m_paths;
    StageScheduler m_stageScheduler;
    HeldReleases m_heldReleases;
    engines::EngineTable m_engineTable;
    FirstEventTimes m_firstEventTimes;
    bool m_usesForecastMargin;
    /*! @brief Errors of forecasts, by the name of the route; only routes of the catalog in effect. */
    std::map<std::string, forecasting::ForecastError> m_forecastErrors;
    std::uint64_t m_incarnation;
    std::map<CallId, Request> m_requests;
    std::map<RunNumber, CallId> m_runs;
    GossipClock m_gossipClock;
    EndpointNotices m_notices;
    EndpointListAge m_listAge;
    StreamVersions m_streamVersions;
    PromptSearch m_promptSearch;
    /*! @brief Resumptions of unknown streams that arrived before the fleet was known. */
    std::set<CallId> m_deferredLookups;
    /*! @brief Questions that wait until the list of endpoints is confirmed, oldest first. */
    std::vector<StreamQuestion> m_unconfirmedQuestions;
    /*! @brief Questions that wait for the history of the list, oldest first. */
    std::vector<StreamQuestion> m_historyQuestions;
    /*! @brief When the history was requested that is being read. */
    std::optional<TimePoint> m_historyRequestedAt;
    /*! @brief When the history was requested that has been read last. */
    std::optional<TimePoint> m_historyReadAsOf;
    /*! @brief When reading the history has failed last. */
    std::optional<TimePoint> m_historyFailedAt;
    /*! @brief When a confirmation was requested that has not come yet. */
    std::optional<TimePoint> m_confirmationRequestedAt;
    /*! @brief Fair shares in the pools whose endpoints are all bounded. */
    std::map<PoolName, FairAdmission> m_fairAdmissions;
    Quarantine m_quarantine;
    CrashDetector m_crashDetector;
    /*! @brief Request and stage of each task. */
    std::map<StageTaskId, std::pair<CallId, std::uint32_t>> m_tasks;
    /*! @brief Tasks that wait until the view of the peers has settled. */
    std::map<StageTaskId, StageTask> m_deferredTasks;
    /*! @brief Tasks delegated to peers, with the peer. */
    std::map<StageTaskId, std::pair<InstanceName, StageTask>> m_delegatedTasks;
    /*! @brief Tasks submitted by peers, by the task identity used in this process. */
    std::map<StageTaskId, PeerTask> m_peerTasks;
    std::map<PeerTaskNumber, StageTaskId> m_peerTaskIds;
    /*! @brief Pools with tasks here whose queue another process owns, and since when. */
    std::map<PoolName, TimePoint> m_formerQueues;
    /*! @brief Requests by deadline. */
    std::set<std::pair<TimePoint, CallId>> m_deadlines;
    /*! @brief Delayed stages, by start time. */
    std::set<std::tuple<TimePoint, CallId, std::uint32_t>> m_delayedStages;
    /*! @brief Requests whose run is delayed until an endpoint accepts it, by that time. */
    std::set<std::pair<TimePoint, CallId>> m_delayedRuns;
    /*! @brief Requests whose inputs can be released, by the time at which their engine has fetched them. */
    std::set<std::pair<TimePoint, CallId>> m_inputReleases;
    TimePoint m_nextHeartbeatAt{};
    std::uint64_t m_nextRun{1};
    std::uint64_t m_nextTask{1};
    RunTimes m_runTimes;
    bool m_draining{};
    /*! @brief When a draining process has to have answered its requests; empty if it waits for them. */
    std::optional<TimePoint> m_drainEndsAt;
    /*! @brief When a draining process begins to reject new requests. */
    TimePoint m_rejectingFrom{};
};

} // namespace bergamottide::serving
