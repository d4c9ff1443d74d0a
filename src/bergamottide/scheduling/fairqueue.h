#pragma once

#include "bergamottide/core/fwd.h"
#include "bergamottide/scheduling/indexedheap.h"

#include <absl/container/flat_hash_map.h>
#include <absl/hash/hash.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief A run that is queued for an endpoint. */
struct QueueItem
{
    RunId run;
    WorkspaceName workspace;
    /*! @brief Estimated service time of the run. */
    Duration cost{};
    /*! @brief Estimated service time of all later stages of the request. */
    Duration laterStagesCost{};
    /*! @brief Deadline of the request. */
    TimePoint deadline;
    /*! @brief Value of completing the request on time. */
    double value{1.0};

    /*! @brief Returns the deadline of this stage, which leaves just enough time for the later stages. */
    [[nodiscard]] TimePoint due() const
    {
        return deadline - laterStagesCost;
    }

    /*! @brief Returns the latest start with which the run still meets its deadline. */
    [[nodiscard]] TimePoint latestStart() const
    {
        return due() - cost;
    }

    [[nodiscard]] bool operator==(const QueueItem &) const = default;
};

/*! @brief Result of `FairQueue::push`. */
struct PushResult
{
    /*! @brief The pushed run is in the queue. */
    bool accepted{};
    /*! @brief Run that was evicted to make room for the pushed one. */
    std::optional<QueueItem> evicted;
};

/**
 * @brief Start-time fair queue of runs, with one flow per workspace.
 *
 * The flow with the smallest start tag is served next; its tag then advances by cost over
 * weight, so that under saturation endpoint time is divided by weight. A flow that becomes
 * active again starts at the current virtual time and thus accumulates no credit while
 * idle.
 *
 * Within a flow the run with the earliest stage deadline is served first, then the one
 * with the higher value. If the flow's backlog can't be finished before its last deadline,
 * the run with the highest value density (value per cost) is served first instead, so that
 * the runs that miss their deadline are those of least value. Densities are compared in
 * steps of a factor of sqrt(2), since smaller differences are within the error of the
 * estimates. Values don't affect how time is divided between workspaces.
 *
 * The queue is bounded. On overflow the run with the lowest value density of the flow with
 * the largest backlog over weight is evicted; this may be the run that was just pushed.
 *
 * Every operation is logarithmic in the number of workspaces and in the runs of one
 * workspace.
 */
class FairQueue
{
public:
    /**
     * @brief Creates an empty queue.
     * @param limit Maximum number of queued runs; above zero.
     * @param concurrency Runs that the endpoint works on concurrently; above zero.
     */
    FairQueue(std::size_t limit, std::size_t concurrency);

    /*! @brief Sets the maximum number of queued runs; doesn't evict runs that already exceed it. */
    void setLimit(std::size_t limit);
    /*! @brief Sets the number of runs that the endpoint works on concurrently. */
    void setConcurrency(std::size_t concurrency);
    /**
     * @brief Sets the weight of a workspace.
     * @param weight Weight relative to other workspaces; rounded to a multiple of 0.001, at least 0.001.
     */
    void setWeight(const WorkspaceName &workspace, double weight);

    /**
     * @brief Adds a run, and evicts one if the queue is full.
     * @param item Run that is not in the queue yet.
     */
    [[nodiscard]] PushResult push(QueueItem item);
    /**
     * @brief Removes and returns the run to be served next, or nothing if the queue is empty.
     * @param now Current time.
     */
    [[nodiscard]] std::optional<QueueItem> pop(TimePoint now);
    /**
     * @brief Removes a run.
     * @return Whether it was in the queue.
     */
    bool erase(const RunId &run);
    /**
     * @brief Removes and returns the runs that can no longer meet their deadline, ordered by latest start.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<QueueItem> takeInfeasible(TimePoint now);

    /*! @brief Returns the smallest latest start of all queued runs. */
    [[nodiscard]] std::optional<TimePoint> nextInfeasibleAt() const;
    /*! @brief Returns the number of queued runs. */
    [[nodiscard]] std::size_t size() const noexcept;
    /*! @brief Returns the estimated cost of all queued runs. */
    [[nodiscard]] Duration backlog() const noexcept;
    /*! @brief Estimates the time until the queued runs of a workspace have been served; zero if it has none. */
    [[nodiscard]] Duration wait(const WorkspaceName &workspace) const;
    /*! @brief Returns the workspaces that have queued runs, with the estimated wait of each. */
    [[nodiscard]] std::vector<std::pair<WorkspaceName, Duration>> waits() const;
    /*! @brief Returns the number of workspaces that have queued runs. */
    [[nodiscard]] std::size_t activeWorkspaces() const noexcept;
    /*! @brief Returns the number of swaps in the heaps of workspaces so far; lets tests check the complexity. */
    [[nodiscard]] std::uint64_t steps() const noexcept;

private:
    struct DeadlineKey
    {
        TimePoint due;
        double value{};
        std::uint64_t sequence{};
        std::size_t slot{};
        [[nodiscard]] bool operator<(const DeadlineKey &other) const;
    };

    struct DensityKey
    {
        int densityLevel{};
        TimePoint due;
        std::uint64_t sequence{};
        std::size_t slot{};
        [[nodiscard]] bool operator<(const DensityKey &other) const;
    };

    struct Flow
    {
        WorkspaceName name;
        std::int64_t weight{};
        double startTag{};
        Duration backlog{};
        std::set<DeadlineKey> byDeadline;
        std::set<DensityKey> byDensity;
    };

    /*! @brief Hash that mixes all bits, since ids derived from callers' keys may have patterns. */
    struct RunHash
    {
        [[nodiscard]] std::size_t operator()(const RunId &run) const
        {
            return absl::HashOf(run.request.high, run.request.low, run.stage, run.attempt);
        }
    };

    /*! @brief Storage of one queued run; slots are reused. */
    struct Slot
    {
        QueueItem item;
        std::size_t flow{};
        /*! @brief Order of arrival; breaks ties. */
        std::uint64_t sequence{};
    };

    using FlowKey = std::pair<double, std::size_t>;
    using LatestStartKey = std::pair<TimePoint, std::uint64_t>;

    std::size_t flowIndexOf(const WorkspaceName &workspace);
    void insert(QueueItem item, std::size_t flow);
    QueueItem remove(std::size_t slot);
    std::size_t freeSlot();
    void updateHeaps(std::size_t flow);
    [[nodiscard]] std::size_t leastDenseSlot() const;
    [[nodiscard]] std::size_t selectSlot(const Flow &flow, TimePoint now) const;
    [[nodiscard]] bool missesDeadlines(const Flow &flow, TimePoint now) const;
    [[nodiscard]] Duration wait(const Flow &flow) const;

    std::size_t m_limit;
    std::size_t m_concurrency;
    double m_virtualTime{};
    std::int64_t m_activeWeight{};
    Duration m_backlog{};
    std::uint64_t m_nextSequence{1};
    std::vector<Flow> m_flows;
    absl::flat_hash_map<std::string, std::size_t> m_flowIndexes;
    std::vector<Slot> m_slots;
    std::vector<std::size_t> m_freeSlots;
    absl::flat_hash_map<RunId, std::size_t, RunHash> m_slotsByRun;
    IndexedHeap<LatestStartKey> m_latestStarts;
    IndexedHeap<FlowKey> m_startTags;
    IndexedHeap<FlowKey> m_largestBacklogs;
};

} // namespace bergamottide
