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

/*! @brief A run that waits for its endpoint, as the queue sees it. */
struct QueueItem
{
    RunId run;
    WorkspaceName workspace;
    /*! @brief Estimated service time of the run. */
    Duration cost{};
    /*! @brief Estimated service time of all the stages after it. */
    Duration following{};
    /*! @brief Deadline of the whole request. */
    TimePoint deadline;
    /*! @brief Worth of the request completed on time. */
    double value{1.0};

    /*! @brief Returns the deadline of this stage: what is left after it is just enough for the following ones. */
    [[nodiscard]] TimePoint due() const
    {
        return deadline - following;
    }

    /*! @brief Returns the time after which a start cannot end within the deadline. */
    [[nodiscard]] TimePoint latestStart() const
    {
        return due() - cost;
    }

    [[nodiscard]] bool operator==(const QueueItem &) const = default;
};

/*! @brief What became of a run offered to a full or open queue. */
struct QueueOutcome
{
    /*! @brief The offered run is in the queue. */
    bool accepted{};
    /*! @brief Run that had to leave in favour of the offered one. */
    std::optional<QueueItem> victim;
};

/**
 * @brief Start-time fair queue over workspaces, by estimated cost.
 *
 * Load it is made for: partners that send a week's work at once to an endpoint that other
 * workspaces use too. Harm prevented: a burst that starves the others. Each workspace that
 * waits has a start tag; the smallest goes first and then moves on by cost over weight, so
 * that under saturation the time of the endpoint is shared by weight whatever is sent. A
 * workspace that comes back from idling starts at the present virtual time: it has gained
 * no credit that it could spend in a burst.
 *
 * Within a workspace the earliest deadline of this stage goes first, then the higher value;
 * that deadline leaves room for the following stages, so that a flood of requests that end
 * here does not use up the time of those that have long work before them. When the backlog
 * of a workspace no longer fits before its last deadline, some of it will be late whatever
 * the order; then the highest value for its cost goes first, so that what is lost is worth
 * least. Worth counts in steps of the root of two: smaller differences are within the error
 * of the estimates, and the deadline decides. Value never moves time from one workspace to
 * another: weights alone do.
 *
 * Work in the queue is bounded. The victim rule: of the workspace furthest over its share
 * (largest backlog over weight, the offered run included) the run of least value for its
 * cost leaves; the offered run itself may be it.
 *
 * Every operation is logarithmic in workspaces and in the runs of one workspace.
 */
class FairQueue
{
public:
    /**
     * @brief Creates an empty queue.
     * @param limit Runs held at most; above zero.
     * @param parallel Runs that the endpoint works on at once; above zero.
     */
    FairQueue(std::size_t limit, std::size_t parallel);

    /*! @brief Sets the number of runs held at most; runs held beyond it stay until they leave by themselves. */
    void setLimit(std::size_t limit);
    /*! @brief Sets the number of runs that the endpoint works on at once. */
    void setParallel(std::size_t parallel);
    /**
     * @brief Sets the share of a workspace.
     * @param workspace Workspace.
     * @param weight Its weight relative to others; resolved to a thousandth, at least that.
     */
    void setWeight(const WorkspaceName &workspace, double weight);

    /**
     * @brief Offers a run.
     * @param item Run; its identity is not in the queue yet.
     * @return Whether it was taken, and which run had to leave for it.
     */
    [[nodiscard]] QueueOutcome push(QueueItem item);
    /**
     * @brief Takes the run that goes next.
     * @param now Present time.
     * @return The run, or nothing if the queue is empty.
     */
    [[nodiscard]] std::optional<QueueItem> pop(TimePoint now);
    /**
     * @brief Removes a run.
     * @param run Run to remove.
     * @return True if it was in the queue.
     */
    bool erase(const RunId &run);
    /**
     * @brief Removes the runs that cannot end within their deadline any more, in the order of their latest starts.
     * @param now Present time.
     * @return The runs removed; none of them has cost anything.
     */
    [[nodiscard]] std::vector<QueueItem> takeDoomed(TimePoint now);

    /*! @brief Returns the earliest latest start of all runs. */
    [[nodiscard]] std::optional<TimePoint> nextDoomed() const;
    /*! @brief Returns the number of runs. */
    [[nodiscard]] std::size_t size() const noexcept;
    /*! @brief Returns the estimated cost of all runs. */
    [[nodiscard]] Duration backlog() const noexcept;
    /**
     * @brief Estimates how long a workspace's present backlog waits, at its share or better.
     * @param workspace Workspace.
     * @return Estimated wait; zero if it has nothing queued.
     */
    [[nodiscard]] Duration wait(const WorkspaceName &workspace) const;
    /*! @brief Returns the workspaces that have runs queued, with the estimated wait of each. */
    [[nodiscard]] std::vector<std::pair<WorkspaceName, Duration>> waits() const;
    /*! @brief Returns the number of workspaces that have runs queued. */
    [[nodiscard]] std::size_t active() const noexcept;
    /*! @brief Returns the number of steps through the orders of workspaces so far; tests bound the cost by it. */
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

    struct WorthKey
    {
        int worth{};
        TimePoint due;
        std::uint64_t sequence{};
        std::size_t slot{};
        [[nodiscard]] bool operator<(const WorthKey &other) const;
    };

    struct Share
    {
        WorkspaceName name;
        std::int64_t weight{};
        double nextStart{};
        Duration backlog{};
        std::set<DeadlineKey> byDeadline;
        std::set<WorthKey> byWorth;
    };

    /*! @brief Hash that mixes all bits, as the table needs it; identities from callers' keys may have patterns. */
    struct RunHash
    {
        [[nodiscard]] std::size_t operator()(const RunId &run) const
        {
            return absl::HashOf(run.request.high, run.request.low, run.stage, run.attempt);
        }
    };

    /*! @brief Place of one queued run; slots are used again. */
    struct Slot
    {
        QueueItem item;
        std::size_t share{};
        /*! @brief Order of arrival, which decides between equals. */
        std::uint64_t sequence{};
    };

    using ShareKey = std::pair<double, std::size_t>;
    using StartKey = std::pair<TimePoint, std::uint64_t>;

    std::size_t shareOf(const WorkspaceName &workspace);
    void insert(QueueItem item, std::size_t share);
    QueueItem remove(std::size_t slot);
    std::size_t freeSlot();
    void rank(std::size_t share);
    [[nodiscard]] std::size_t leastWorth() const;
    [[nodiscard]] std::size_t choose(const Share &share, TimePoint now) const;
    [[nodiscard]] bool saturated(const Share &share, TimePoint now) const;
    [[nodiscard]] Duration wait(const Share &share) const;

    std::size_t m_limit;
    std::size_t m_parallel;
    double m_virtualTime{};
    std::int64_t m_activeWeight{};
    Duration m_backlog{};
    std::uint64_t m_nextSequence{1};
    std::vector<Share> m_shares;
    absl::flat_hash_map<std::string, std::size_t> m_shareOf;
    std::vector<Slot> m_slots;
    std::vector<std::size_t> m_freeSlots;
    absl::flat_hash_map<RunId, std::size_t, RunHash> m_slotOf;
    IndexedHeap<StartKey> m_latestStarts;
    IndexedHeap<ShareKey> m_starts;
    IndexedHeap<ShareKey> m_largest;
};

} // namespace bergamottide
