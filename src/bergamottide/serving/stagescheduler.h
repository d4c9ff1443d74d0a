#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/callplanner.h"
#include "bergamottide/serving/catalog.h"
#include "bergamottide/serving/endpointboard.h"
#include "bergamottide/serving/events.h"
#include "bergamottide/serving/peers.h"
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
     * @param shortOfRoom Tells which inputs are worth to be given up before their task has ended.
     */
    StageScheduler(EndpointBoard &endpoints, RetryBudget &budget, ShortOfRoom shortOfRoom);

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

    /*! @brief Returns when `expire` has something to do. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

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

    void markLate(const Pool &pool, StageQueue &queue, TimePoint now);
    void shedLate(const Pool &pool, const StageQueue &queue, std::size_t ahead, Duration busy, TimePoint now);
    [[nodiscard]] Duration remainingTime(const PoolName &pool, TimePoint now) const;
    [[nodiscard]] double roomTaken(const Pool &pool, TimePoint now);
    [[nodiscard]] double capacity(const Pool &pool, TimePoint now);
    [[nodiscard]] Duration waitBehind(const Pool &pool, std::size_t pieces, Duration busy, TimePoint now);
    [[nodiscard]] Duration timePerPiece(const Pool &pool, TimePoint now);
    void dispatchPool(const Pool &pool, StageQueue &queue, TimePoint now, Effects &effects);
    void send(const Pool &pool, Endpoint &endpoint, std::vector<CallItem> items, StageQueue &queue, TimePoint now,
              Effects &effects);
    void noteCompany(const Call &call, const std::optional<EndpointLoad> &load, TimePoint now);
    [[nodiscard]] static RoomShare shareOf(const Call &call, const CallItem &item);
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
    ShortOfRoom m_shortOfRoom;
    PendingTasks m_tasks;
    std::map<PoolName, StageQueue> m_queues;
    std::map<StageCallNumber, Call> m_calls;
    ResultRoom m_room;
    CallPlanner m_planner;
    std::vector<StageOutcome> m_outcomes;
    std::vector<KeptResult> m_usedInputs;
    std::map<PoolName, PoolLoad> m_loads;
    TimePoint m_dispatchedAt{};
    std::uint64_t m_nextCall{1};
};

} // namespace bergamottide::serving
