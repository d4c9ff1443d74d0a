#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/engineplacement.h"
#include "bergamottide/engines/enginetable.h"
#include "bergamottide/serving/endpointboard.h"
#include "bergamottide/serving/events.h"
#include "bergamottide/serving/fetchpaths.h"
#include "bergamottide/serving/firsteventtimes.h"
#include "bergamottide/serving/peers.h"
#include "bergamottide/serving/regionrule.h"
#include "bergamottide/serving/request.h"
#include "bergamottide/serving/retrybudget.h"
#include "bergamottide/serving/stageforecast.h"
#include "bergamottide/serving/stagescheduler.h"
#include "bergamottide/serving/warmuplimiter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace bergamottide::serving {

/*! @brief Settings of the decisions. */
struct ServingOptions
{
    RetryBudgetOptions retries;
    PeerInfo self;
    /*! @brief Addresses of some peers. */
    std::vector<std::string> seeds;
    std::uint64_t incarnation{};
    /*! @brief Region of each availability zone. */
    std::map<ZoneName, RegionName> regions;
};

/**
 * @brief Decides what becomes of each request of a process that calls endpoints itself.
 *
 * A request is admitted or refused on arrival, has its stages made, is sent to one endpoint and answered. It is sent
 * again only if it may run twice or has provably not run.
 */
class ServingReducer
{
public:
    explicit ServingReducer(const ServingOptions &options);

    /**
     * @brief Applies one event.
     * @param event What has come about.
     * @param now Present time.
     * @return What is to be done, in order.
     */
    [[nodiscard]] Effects apply(const Event &event, TimePoint now);

    /*! @brief Returns the next time at which a tick is needed. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns the number of requests in progress. */
    [[nodiscard]] std::size_t inProgress() const noexcept;

    /*! @brief Returns the peers that are alive. */
    [[nodiscard]] std::vector<PeerInfo> livePeers(TimePoint now) const;

    /*! @brief Returns who reads the platform for this process; none if it reads itself. */
    [[nodiscard]] std::vector<std::string> readers(TimePoint now) const;

    /**
     * @brief Returns what this process tells a peer.
     * @param to Address of the peer.
     * @param now Present time.
     */
    [[nodiscard]] Heartbeat heartbeat(const std::string &to, TimePoint now);

    /*! @brief Tells if a request could be served now. */
    [[nodiscard]] bool canServe() const;

private:
    void on(const RequestArrived &event);
    void on(const CallerLeft &event);
    void on(const RunAnswered &event);
    void on(const RunReceived &event);
    void on(const RunEnded &event);
    void on(const RunFailed &event);
    void on(const StageCallEnded &event);
    void on(const CatalogChanged &event);
    void on(const EndpointsChanged &event);
    void on(const PeerTaskArrived &event);
    void on(const PeerTaskGone &event);
    void on(const HandedTaskEnded &event);
    void on(const HeartbeatHeard &event);
    void on(const PeerReleased &event);
    void on(const SettingsChanged &event);
    void on(const DrainRequested &event);
    void on(const Tick &event);

    // Admission.
    void admit(Request request);
    [[nodiscard]] std::optional<AnswerKind> whyRefused(Request &request);
    [[nodiscard]] Duration shortestStageTime(const Request &request, std::uint32_t belowLevel) const;
    [[nodiscard]] StageForecast forecast(const Catalog &catalog);
    [[nodiscard]] std::optional<TimePoint> expectedAnswer(const Request &request);
    [[nodiscard]] Duration expectedRunTime(const Request &request);
    [[nodiscard]] bool isHopeless(Request &request);
    [[nodiscard]] PoolName drawPool(const Route &route, const std::string &attempt) const;

    // Queues kept by peers.
    void place(StageTask task);
    [[nodiscard]] std::vector<HeldResults> heldOfOthers(const PoolName &pool, std::uint64_t scheduler) const;
    void placeHeldBack();
    void reclaimTasks();
    [[nodiscard]] bool isOwner(const InstanceName &peer, const PoolName &pool) const;
    void handOverQueues(const std::function<bool(const PoolName &pool)> &isTakenOver);
    void handOverLostQueues();
    void sendHeartbeats();
    [[nodiscard]] std::optional<PoolOutlook> outlook(const PoolName &pool, int rank);
    [[nodiscard]] std::map<std::pair<PoolName, int>, std::uint64_t> ownUpcoming() const;

    // Stages.
    void advance(Request &request);
    void startLevel(Request &request);
    void startDelayed();
    void submitStage(Request &request, std::uint32_t stage);
    [[nodiscard]] ZoneName zoneOf(const Request &request, std::uint32_t stage);
    void takeOutcomes();
    void take(const StageOutcome &outcome, std::uint64_t scheduler);
    void takeForPeer(StageTaskId id, const StageOutcome &outcome);
    void stageFailed(Request &request, PieceFailure failure);
    [[nodiscard]] static bool mayRestartStages(const Request &request);
    void restartStages(Request &request);
    void release(StageProgress &stage);
    void releaseAll(Request &request);
    [[nodiscard]] TimePoint inputsLapse(const Request &request, const std::vector<std::uint32_t> &stages) const;
    [[nodiscard]] std::vector<KeptResult> inputsOf(const Request &request,
                                                   const std::vector<std::uint32_t> &stages) const;
    void giveUp(const std::vector<KeptResult> &results);
    [[nodiscard]] bool isShortOfRoom(const KeptResult &result);

    // Engines.
    void listEngines();
    [[nodiscard]] std::map<ZoneName, std::uint64_t> inputBytesByZone(const Request &request);
    void awaitFetch(Request &request, const engines::EngineChoice &choice);
    void giveUpFetchedInputs();
    [[nodiscard]] std::optional<engines::EngineChoice> chooseEngine(const Request &request);

    // Runs.
    void startRun(Request &request);
    [[nodiscard]] bool mayRunAt(const Request &request, const Endpoint &endpoint) const;
    [[nodiscard]] bool isServed(const Request &request) const;
    [[nodiscard]] std::vector<Endpoint *> candidates(const Request &request);
    [[nodiscard]] std::set<ZoneName> inputZones(const Request &request);
    void noteFetch(const Request &request, bool isFetched);
    [[nodiscard]] bool isOutOfReach(const Request &request);
    void eraseUnreached(std::vector<Endpoint *> &endpoints, const std::set<ZoneName> &inputs) const;
    void retryOrGiveUp(Request &request, bool mayHaveRun, AnswerKind otherwise);
    void reviewSilentRuns();
    [[nodiscard]] bool isSilent(const Request &request) const;
    void endRun(Request &request, std::optional<EndpointSign> sign);
    void runBroke(Request &request, const std::string &reason);
    void passOn(Request &request);

    // Answers.
    void refuse(Request &request, AnswerKind kind, const std::string &reason);
    void finish(Request &request, std::string_view outcome);
    void observeEnd(const Request &request, std::string_view outcome);
    [[nodiscard]] std::string admissionReason(AnswerKind kind) const;
    void expire();

    Request *find(CallId call);
    Request *find(RunNumber run);
    void log(const Request &request, std::string text, std::vector<std::pair<std::string, std::string>> fields,
             Severity severity = Severity::Info);

    /*! @brief A peer's task, and its results so far. */
    struct PeerTask
    {
        PeerTaskNumber number{};
        std::uint32_t pieces{};
        std::vector<StageOutcome> outcomes;
    };

    TimePoint m_now;
    Effects m_effects;
    std::shared_ptr<const Catalog> m_catalog;
    EndpointBoard m_endpoints;
    RetryBudget m_budget;
    RegionRule m_regions;
    Peers m_peers;
    WarmupLimiter m_warmup;
    FetchPaths m_paths;
    StageScheduler m_stages;
    engines::EngineTable m_engines;
    FirstEventTimes m_firstEvents;
    std::uint64_t m_incarnation;
    std::map<CallId, Request> m_requests;
    std::map<RunNumber, CallId> m_runs;
    std::map<StageTaskId, std::pair<CallId, std::uint32_t>> m_tasks;
    /*! @brief Tasks that wait until the process has met its peers. */
    std::map<StageTaskId, StageTask> m_heldBack;
    /*! @brief Tasks handed to peers. */
    std::map<StageTaskId, std::pair<InstanceName, StageTask>> m_handed;
    /*! @brief Tasks of peers, by the identity that they have here. */
    std::map<StageTaskId, PeerTask> m_peerTasks;
    std::map<PeerTaskNumber, StageTaskId> m_peerNumbers;
    /*! @brief Pools with tasks here whose queue another process keeps, and since when. */
    std::map<PoolName, TimePoint> m_lostQueues;
    std::set<std::pair<TimePoint, CallId>> m_limits;
    /*! @brief Stages whose start is put off. */
    std::set<std::tuple<TimePoint, CallId, std::uint32_t>> m_starts;
    /*! @brief Runs whose engine will have fetched their inputs. */
    std::set<std::pair<TimePoint, CallId>> m_fetches;
    TimePoint m_heartbeatAt{};
    std::uint64_t m_nextRun{1};
    std::uint64_t m_nextTask{1};
    bool m_draining{};
    TimePoint m_refusingFrom{};
};

} // namespace bergamottide::serving
