#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/events/stagetask.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace bergamottide::serving {

/*! @brief Whether the workspace of a task has received more than its share of a scarce pool. */
enum class ShareMark : std::uint8_t
{
    Within,
    Above
};

/*! @brief A task with pieces in the queue of a stage pool or in calls. */
struct PendingTask
{
    StageTask task;
    /*! @brief Pieces to be sent in a call. */
    std::vector<std::uint32_t> waitingPieces;
    /*! @brief Number of pieces without a result. */
    std::uint32_t unfinishedPieces{};
    /*! @brief Number of failed attempts, summed over the pieces. */
    std::uint32_t failures{};
    /*! @brief Number of calls with its pieces that broke. */
    std::uint32_t brokenCalls{};
    /*! @brief Zones of the known endpoints that store its inputs. */
    std::set<ZoneName> inputZones;
    /*! @brief Whether its request is expected to miss its objective. */
    bool isLate{};
    TimePoint lateSince{};
    /*! @brief Part of the sort key: changed only while the task is not in its queue. */
    ShareMark share{};
    /*! @brief Until then it is sent only to endpoints of its preferred zone. */
    TimePoint zoneWaitUntil{};
    /*! @brief When the endpoints are expected to have fetched its inputs; set once all pieces are in calls. */
    std::optional<TimePoint> inputsFetchedAt;
    bool inputsReleased{};
};

using PendingTasks = std::map<StageTaskId, PendingTask>;

/*! @brief Sort key of a queue: whether the task is late, its rank, whether its workspace is above its share, its latest
 * start and its identifier. */
using QueueKey = std::tuple<bool, int, ShareMark, TimePoint, StageTaskId>;

/*! @brief Tasks of a pool that have waiting pieces, the next one to serve first. */
using StageQueue = std::set<QueueKey>;

/*! @brief Returns the sort key of a task. */
[[nodiscard]] inline QueueKey queueKey(const PendingTask &pending)
{
    return {pending.isLate, pending.task.rank, pending.share, pending.task.latestStart, pending.task.id};
}

/*! @brief Returns the number of waiting pieces of all tasks in a queue. */
[[nodiscard]] inline std::size_t countWaitingPieces(const StageQueue &queue, const PendingTasks &tasks)
{
    std::size_t count = 0;
    for (const QueueKey &key : queue) {
        count += tasks.at(std::get<StageTaskId>(key)).waitingPieces.size();
    }
    return count;
}

/*! @brief One piece in a call. */
struct CallItem
{
    StageTaskId task{};
    std::uint32_t piece{};
    /*! @brief Memory reserved for its result. */
    std::uint64_t bytes{};
};

} // namespace bergamottide::serving
