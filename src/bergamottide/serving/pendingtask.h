#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/serving/stagetask.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace bergamottide::serving {

/*! @brief A task in the queue of a stage pool, or with pieces in calls. */
struct PendingTask
{
    StageTask task;
    /*! @brief Pieces not in a call at present. */
    std::vector<std::uint32_t> waiting;
    std::uint32_t open{};
    std::uint32_t failures{};
    /*! @brief Zones in which its inputs lie, as far as their makers are known. */
    std::set<ZoneName> inputZones;
    /*! @brief Its request cannot be on time any more. */
    bool isLate{};
    TimePoint lateSince{};
    /*! @brief Until then only endpoints of its zone take it. */
    TimePoint patientUntil{};
    /*! @brief When the calls with its pieces have fetched their inputs; set once all pieces are in calls. */
    std::optional<TimePoint> fetchedAt;
    /*! @brief Its inputs have been given up. */
    bool isFetched{};
};

/*! @brief Tasks by their identity. */
using PendingTasks = std::map<StageTaskId, PendingTask>;

/*! @brief Order in which the tasks of a pool are served: late ones last, then by rank, then by due. */
using StageOrder = std::tuple<bool, int, TimePoint, StageTaskId>;

/*! @brief Tasks of a pool with pieces that wait for a call, the first to serve first. */
using StageQueue = std::set<StageOrder>;

/*! @brief Returns the place of a task in its queue. */
[[nodiscard]] inline StageOrder orderOf(const PendingTask &pending)
{
    return {pending.isLate, pending.task.rank, pending.task.due, pending.task.id};
}

/*! @brief Returns the number of pieces that wait in a queue. */
[[nodiscard]] inline std::size_t waitingPieces(const StageQueue &queue, const PendingTasks &tasks)
{
    std::size_t waiting = 0;
    for (const StageOrder &order : queue) {
        waiting += tasks.at(std::get<StageTaskId>(order)).waiting.size();
    }
    return waiting;
}

/*! @brief One piece in a call. */
struct CallItem
{
    StageTaskId task{};
    std::uint32_t piece{};
    std::uint64_t bytes{};
};

} // namespace bergamottide::serving
