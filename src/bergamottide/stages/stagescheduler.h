#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"
#include "bergamottide/events/heartbeat.h"
#include "bergamottide/events/stagetask.h"
#include "bergamottide/pools/crashdetector.h"
#include "bergamottide/pools/endpointregistry.h"
#include "bergamottide/retries/retrybudget.h"
#include "bergamottide/sharing/fairshares.h"
#include "bergamottide/stages/callplanner.h"
#include "bergamottide/stages/drainrate.h"
#include "bergamottide/stages/fetchpaths.h"
#include "bergamottide/stages/pendingtask.h"
#include "bergamottide/stages/poolload.h"
#include "bergamottide/stages/resultmemory.h"

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
 * @brief Batches the pieces of many requests into calls to the endpoints of stage pools.
 *
 * The fixed cost of a call outweighs the cost of its items, so tasks are queued here and not at the endpoints: as soon
 * as an endpoint has a free slot, the most urgent waiting pieces are sent to it in one call. No timer delays a call to
 * fill it: batches are small while endpoints are idle and grow with the queue.
 */
class StageScheduler
{
public:
    /*! @brief Tells whether the pool that stores a result has little memory left for further results. */
    using MemoryPressureCheck = std::function<bool(const StoredResult &result)>;

    /**
     * @brief Creates a scheduler without tasks.
     * @param endpoints Known endpoints; must outlive the scheduler.
     * @param budget Limits retries; must outlive the scheduler.
     * @param rateLimiter Limits the rate of calls to endpoints; must outlive the scheduler.
     * @param paths Tracks failed fetches between zones; must outlive the scheduler.
     * @param isMemoryScarce Selects the inputs that are released as soon as they are fetched.
     */
    StageScheduler(EndpointRegistry &endpoints, RetryBudget &budget, const RateLimiter &rateLimiter, FetchPaths &paths,
                   MemoryPressureCheck isMemoryScarce);

    /*! @brief Sets whether all scarce pools are shared among workspaces and their calls filled, or only those whose
     * endpoints report a pace. */
    void setSharesAllPools(bool sharesAllPools) noexcept;

    /**
     * @brief Queues a task.
     * @param task Task with an identifier that no other task has.
     * @param now Current time.
     */
    void submit(StageTask task, TimePoint now);

    /**
     * @brief Removes a task; results of its calls in progress are released when they arrive.
     * @param task Task to remove; unknown ones are ignored.
     */
    void cancel(StageTaskId task);

    /**
     * @brief Removes the tasks of which no piece is in a call or done, so that another scheduler can take them over.
     * @param isTakenOver Tells whether another scheduler takes over the queue of a pool.
     * @return The removed tasks.
     */
    [[nodiscard]] std::vector<StageTask> takeUnstarted(const std::function<bool(const PoolName &pool)> &isTakenOver);

    /**
     * @brief Sends waiting pieces to the endpoints that can take them.
     * @param catalog Current pools.
     * @param now Current time.
     * @param effects Receives the calls.
     */
    void dispatch(const Catalog &catalog, TimePoint now, Effects &effects);

    /*! @brief Makes the next dispatch scan every queue; needed after pools or endpoints have changed. */
    void requestScans();

    /*! @brief Returns the work of a call in progress; nothing if the call has ended. */
    [[nodiscard]] std::optional<EndpointWork> workOf(StageCallNumber call) const;

    /**
     * @brief Handles the end of a call: stores its results, or queues its pieces for a retry.
     * @param event Outcome of the call.
     * @param now Current time.
     * @param effects Receives log lines and results to release.
     */
    void handleCallEnded(const StageCallEnded &event, TimePoint now, Effects &effects);

    /**
     * @brief Cancels calls that have timed out and retries their pieces; removes expired results, and releases fetched
     * inputs where memory is scarce.
     * @param now Current time.
     * @param effects Receives cancellations and log lines.
     */
    void handleTimeouts(TimePoint now, Effects &effects);

    /**
     * @brief Extends the timeouts of calls by a time in which this process may not have read their responses.
     * @param lateness Length of the time, which has just ended.
     * @param now Current time.
     */
    void extendTimeouts(Duration lateness, TimePoint now);

    /*! @brief Returns and clears the results and failures collected since the previous invocation. */
    [[nodiscard]] std::vector<StageOutcome> takeOutcomes();

    /**
     * @brief Frees the memory accounted for a result that its endpoint no longer stores.
     * @param handle Handle of the result.
     */
    void handleReleased(const std::string &handle);

    /*! @brief Returns and clears the inputs that no task needs any more; the caller releases them. */
    [[nodiscard]] std::vector<StoredResult> takeReleasableInputs();

    /*! @brief Returns the expected waits of rank 0 and of each queued rank, for every pool that has had tasks. */
    [[nodiscard]] std::vector<PoolWait> queueWaits(const Catalog &catalog, TimePoint now);

    /**
     * @brief Estimates how long a new task waits for its first call behind the work queued before it.
     * @param pool Pool.
     * @param rank Priority rank of the task.
     * @param workspace Workspace of the task.
     * @param catalog Current pools.
     * @param now Current time.
     * @return Estimate; nothing if no endpoint of the pool accepts work.
     */
    [[nodiscard]] std::optional<PoolWait> expectedWait(const PoolName &pool, int rank, const WorkspaceName &workspace,
                                                       const Catalog &catalog, TimePoint now);

    /*! @brief Returns the pools with a non-empty queue. */
    [[nodiscard]] std::vector<PoolName> queuedPools() const;

    /*! @brief Returns when `handleTimeouts` or `dispatch` has to be called next; nothing if neither is pending. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns the number of queue scans so far; the cost of a scan is linear in the length of the queue. */
    [[nodiscard]] std::size_t scanCount() const noexcept;

private:
    struct Call
    {
        PoolName pool;
        InstanceName endpoint;
        std::uint64_t incarnation{};
        std::string address;
        std::vector<CallItem> items;
        TimePoint startedAt{};
        Duration expectedDuration{};
        Duration resultTtl{};
        std::uint64_t resultMemory{};
        TimePoint timeoutAt{};
    };

    /*! @brief Time of the last scan of a queue for calls to send, and what triggers the next one. */
    struct QueueScan
    {
        bool isRequested{true};
        TimePoint at{};
        /*! @brief When the first task that waits for its preferred zone may go to any zone. */
        std::optional<TimePoint> zoneWaitEnds;
    };

    /*! @brief Waiting pieces of the tasks of a rank that are not late. */
    struct WaitingPieces
    {
        std::size_t withinShare{};
        std::size_t aboveShare{};
    };

    [[nodiscard]] sharing::FairShares *sharesOf(const PoolName &pool);
    [[nodiscard]] bool isScarce(const Pool &pool, const StageQueue &queue, TimePoint now);
    void markShares(const Pool &pool, StageQueue &queue, TimePoint now, Effects &effects);
    void applyShareMarks(StageQueue &queue);
    [[nodiscard]] bool hasWorkspacesAboveShare(const PoolName &pool) const;
    [[nodiscard]] ShareMark shareMark(const StageTask &task) const;
    void markLate(const Pool &pool, StageQueue &queue, TimePoint now);
    void dropHopelessTasks(const Pool &pool, const StageQueue &queue, const DrainRate &rate, std::size_t ahead,
                           TimePoint now);
    [[nodiscard]] Duration remainingCallTime(const PoolName &pool, TimePoint now) const;
    [[nodiscard]] DrainRate drainRate(const Pool &pool, const std::vector<Endpoint *> &usable, TimePoint now);
    [[nodiscard]] std::map<int, WaitingPieces> waitingByRank(const PoolName &pool) const;
    [[nodiscard]] std::vector<PoolWait> expectedWaits(const PoolName &pool, const std::vector<int> &ranks,
                                                      const Catalog &catalog, TimePoint now);
    void publishShares(const PoolName &pool, std::vector<PoolWait> &waits) const;
    [[nodiscard]] static bool isScanDue(const QueueScan &scan, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> firstZoneWaitEnd(const StageQueue &queue, TimePoint now) const;
    void dispatchPool(const Pool &pool, StageQueue &queue, TimePoint now, Effects &effects);
    void sendCall(const Pool &pool, Endpoint &endpoint, std::vector<CallItem> items, StageQueue &queue, TimePoint now,
                  Effects &effects);
    void updateExclusivity(const Call &call, const std::optional<EndpointLoad> &load, TimePoint now);
    [[nodiscard]] static MemoryReservation reservationOf(const Call &call, const CallItem &item);
    void recordFetches(const StageCallEnded &event, const Call &call, TimePoint now);
    [[nodiscard]] bool areInputsUnreachable(const PendingTask &pending, const Call &call, TimePoint now);
    void requeueUnreachable(const std::map<StageTaskId, std::vector<CallItem>> &unreachable, const Call &call,
                            TimePoint now);
    static void logFailures(const StageCallEnded &event, const Call &call, Effects &effects);
    void accountForUnknownResults(const Call &call, TimePoint now, Effects &effects);
    void countBrokenCall(const Call &call);
    void retryItems(const Call &call, bool failed, TimePoint now, Effects &effects);
    void requeue(const CallItem &item, bool failed);
    void releaseInputs(PendingTask &pending);
    [[nodiscard]] bool shouldReleaseEarly(const PendingTask &pending) const;
    void releaseFetchedInputs(TimePoint now);
    void fail(PendingTask &pending, PieceFailure failure);
    void recordDuration(const Call &call, TimePoint now);

    EndpointRegistry &m_endpoints;
    RetryBudget &m_budget;
    FetchPaths &m_paths;
    MemoryPressureCheck m_isMemoryScarce;
    PendingTasks m_tasks;
    std::map<PoolName, StageQueue> m_queues;
    std::map<PoolName, QueueScan> m_scans;
    std::map<StageCallNumber, Call> m_calls;
    std::set<std::pair<TimePoint, StageCallNumber>> m_callTimeouts;
    /*! @brief Expected fetch times of task inputs; entries of tasks that have ended or were requeued are stale. */
    std::set<std::pair<TimePoint, StageTaskId>> m_fetchEstimates;
    ResultMemory m_resultMemory;
    CallPlanner m_planner;
    std::vector<StageOutcome> m_outcomes;
    std::vector<StoredResult> m_releasedInputs;
    std::map<PoolName, PoolLoad> m_loads;
    /*! @brief Shares of the workspaces in the pools that report a pace. */
    std::map<PoolName, sharing::FairShares> m_shares;
    bool m_sharesAllPools{};
    std::uint64_t m_nextCall{1};
    std::size_t m_scanCount{};
};

} // namespace bergamottide::serving
