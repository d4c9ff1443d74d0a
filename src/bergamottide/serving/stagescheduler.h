#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/callplanner.h"
#include "bergamottide/serving/catalog.h"
#include "bergamottide/serving/drainrate.h"
#include "bergamottide/serving/endpointboard.h"
#include "bergamottide/serving/events.h"
#include "bergamottide/serving/fetchpaths.h"
#include "bergamottide/serving/heartbeat.h"
#include "bergamottide/serving/pendingtask.h"
#include "bergamottide/serving/poolload.h"
#include "bergamottide/serving/resultroom.h"
#include "bergamottide/serving/retrybudget.h"
#include "bergamottide/serving/stagetask.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief Makes calls to the endpoints of stage pools out of the pieces of many requests.
 *
 * A call costs much the same whatever it carries, and an endpoint works on one call at a time. So pieces wait here and
 * not at the endpoint: whenever a slot is free, the most urgent pieces that wait fill one call. No call waits to be
 * filled, so an idle endpoint adds no delay, and under load calls fill by themselves.
 */
class StageScheduler
{
public:
    /*! @brief Tells if the pool that has made a result is short of room for more. */
    using ShortOfRoom = std::function<bool(const KeptResult &result)>;

    /**
     * @brief Creates a scheduler without tasks.
     * @param endpoints Endpoints; outlive the scheduler.
     * @param budget Bounds repeated work; outlives the scheduler.
     * @param warmup Bound on calls to cold endpoints; outlives the scheduler.
     * @param shortOfRoom Tells which inputs are worth to be given up before their task has ended.
     */
    StageScheduler(EndpointBoard &endpoints, RetryBudget &budget, const WarmupLimiter &warmup, FetchPaths &paths,
                   ShortOfRoom shortOfRoom);

    /**
     * @brief Adds a task.
     * @param task Task with a new identity.
     * @param now Present time.
     */
    void submit(StageTask task, TimePoint now);

    /**
     * @brief Forgets a task; results that still come of it are given up.
     * @param task Identity.
     */
    void cancel(StageTaskId task);

    /**
     * @brief Gives up the tasks of which no piece is in a call or made, so that another scheduler can take them.
     * @param isTakenOver Tells whether another scheduler takes the tasks of a pool.
     * @return The tasks.
     */
    [[nodiscard]] std::vector<StageTask> handOver(const std::function<bool(const PoolName &pool)> &isTakenOver);

    /**
     * @brief Sends what can be sent.
     * @param catalog Pools in force.
     * @param now Present time.
     * @param effects Receives the calls.
     */
    void dispatch(const Catalog &catalog, TimePoint now, Effects &effects);

    /*! @brief Has all queues reviewed at the next dispatch: the pools or their endpoints have changed. */
    void reviewAll();

    /**
     * @brief Takes the end of a call.
     * @param event How it ended.
     * @param now Present time.
     * @param effects Receives the effects.
     */
    void ended(const StageCallEnded &event, TimePoint now, Effects &effects);

    /**
     * @brief Gives up calls that take much longer than expected; their pieces go elsewhere.
     * @param now Present time.
     * @param effects Receives the effects.
     */
    void expire(TimePoint now, Effects &effects);

    /*! @brief Returns what has come about since the last call. */
    [[nodiscard]] std::vector<StageOutcome> takeOutcomes();

    /**
     * @brief Notes that a result has left the memory of its endpoint.
     * @param handle Result.
     */
    void released(const std::string &handle);

    /*! @brief Returns the inputs of tasks that no call needs any more, since the last call; they are to be given up. */
    [[nodiscard]] std::vector<KeptResult> takeUsedInputs();

    /*! @brief Returns the waits at the pools that have tasks, for each rank in their queues. */
    [[nodiscard]] std::vector<PoolWait> waits(const Catalog &catalog, TimePoint now);

    /**
     * @brief Estimates how long a new task waits before its first call, from the work that goes before it.
     * @param pool Pool.
     * @param rank Rank of the task.
     * @param catalog Pools in force.
     * @param now Present time.
     * @return Estimate; nothing if no endpoint takes work.
     */
    [[nodiscard]] std::optional<PoolWait> expectedWait(const PoolName &pool, int rank, const Catalog &catalog,
                                                       TimePoint now);

    /*! @brief Returns the pools whose queue here is not empty. */
    [[nodiscard]] std::vector<PoolName> pools() const;

    /*! @brief Returns when `expire` or `dispatch` has something to do. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns how often a queue was reviewed for calls to send; that takes time in proportion to its length. */
    [[nodiscard]] std::size_t reviews() const noexcept;

private:
    struct Call
    {
        PoolName pool;
        InstanceName endpoint;
        std::uint64_t incarnation{};
        std::string address;
        std::vector<CallItem> items;
        TimePoint started{};
        Duration expected{};
        Duration resultTtl{};
        TimePoint expiry{};
    };

    /*! @brief When a queue was reviewed, and what calls for the next review. */
    struct Review
    {
        bool isDue{true};
        TimePoint at{};
        /*! @brief When the first task that waits for its zone goes elsewhere. */
        std::optional<TimePoint> patienceEnds;
    };

    void markLate(const Pool &pool, StageQueue &queue, TimePoint now);
    void shedLate(const Pool &pool, const StageQueue &queue, const DrainRate &rate, std::size_t ahead, TimePoint now);
    [[nodiscard]] Duration remainingTime(const PoolName &pool, TimePoint now) const;
    [[nodiscard]] DrainRate drainRate(const Pool &pool, const std::vector<Endpoint *> &usable, TimePoint now);
    [[nodiscard]] std::map<int, std::size_t> waitingByRank(const PoolName &pool) const;
    [[nodiscard]] std::vector<PoolWait> expectedWaits(const PoolName &pool, const std::vector<int> &ranks,
                                                      const Catalog &catalog, TimePoint now);
    [[nodiscard]] static bool isDue(const Review &review, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> patienceEnd(const StageQueue &queue, TimePoint now) const;
    void dispatchPool(const Pool &pool, StageQueue &queue, TimePoint now, Effects &effects);
    void send(const Pool &pool, Endpoint &endpoint, std::vector<CallItem> items, StageQueue &queue, TimePoint now,
              Effects &effects);
    void noteCompany(const Call &call, const std::optional<EndpointLoad> &load, TimePoint now);
    [[nodiscard]] static RoomShare shareOf(const Call &call, const CallItem &item);
    void notePaths(const StageCallEnded &event, const Call &call, TimePoint now);
    [[nodiscard]] bool isOutOfReach(const PendingTask &pending, const Call &call, TimePoint now);
    void tryElsewhere(const std::map<StageTaskId, std::vector<CallItem>> &unreached, const Call &call, TimePoint now);
    static void logFailures(const StageCallEnded &event, const Call &call, Effects &effects);
    void giveBack(const Call &call, bool failed, TimePoint now, Effects &effects);
    void requeue(const CallItem &item, bool failed);
    void giveUpInputs(PendingTask &pending);
    [[nodiscard]] bool isWorthGivingUp(const PendingTask &pending) const;
    void giveUpFetched(TimePoint now);
    void fail(PendingTask &pending, PieceFailure failure);
    void noteSpeed(const Call &call, TimePoint now);

    EndpointBoard &m_endpoints;
    RetryBudget &m_budget;
    FetchPaths &m_paths;
    ShortOfRoom m_shortOfRoom;
    PendingTasks m_tasks;
    std::map<PoolName, StageQueue> m_queues;
    std::map<PoolName, Review> m_reviews;
    std::map<StageCallNumber, Call> m_calls;
    std::set<std::pair<TimePoint, StageCallNumber>> m_expiries;
    /*! @brief Tasks whose inputs will have been fetched; some have ended or gone back to their queue since. */
    std::set<std::pair<TimePoint, StageTaskId>> m_fetches;
    ResultRoom m_room;
    CallPlanner m_planner;
    std::vector<StageOutcome> m_outcomes;
    std::vector<KeptResult> m_usedInputs;
    std::map<PoolName, PoolLoad> m_loads;
    std::uint64_t m_nextCall{1};
    std::size_t m_reviewCount{};
};

} // namespace bergamottide::serving
