#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bergamottide::serving {

/*! @brief Estimated load of a stage pool, as seen by a new task of a given rank. */
struct PoolEstimate
{
    /*! @brief Wait behind the tasks in the queue. */
    Duration wait{};
    /*! @brief Additional wait for each further piece in the queue. */
    Duration timePerPiece{};
    /*! @brief Pieces of admitted requests that have yet to reach the queue. */
    std::uint64_t upcomingPieces{};
    /*! @brief Average number of items in a call, including those of other requests. */
    double itemsPerCall{1.0};
    /*! @brief Share of the endpoints' result memory in use, from 0 to 1. */
    double usedMemoryShare{};
};

/*! @brief Returns the estimated load of a pool for a rank; nothing if none of its endpoints accepts work. */
using PoolEstimator = std::function<std::optional<PoolEstimate>(const PoolName &pool, int rank)>;

/**
 * @brief Predicts how long the stages of a request take.
 *
 * Work of admitted requests that has yet to reach a pool counts as if it were queued there. At the start of a burst the
 * queues of later stages are still empty, so their lengths alone would give too short a forecast.
 */
class StageForecast
{
public:
    /**
     * @brief Creates a forecast for one version of the catalog.
     * @param catalog Catalog with the pools; must outlive the forecast.
     * @param estimator Returns the load of a pool.
     */
    StageForecast(const Catalog &catalog, PoolEstimator estimator);

    /**
     * @brief Predicts the duration of one stage.
     * @param stage Stage.
     * @param pieces Number of its pieces.
     * @param rank Priority rank of the request.
     * @param startsIn Time until its task is submitted.
     * @return Time from submission to completion; nothing if no endpoint of the pool accepts work.
     */
    [[nodiscard]] std::optional<Duration> stageDuration(const StageSpec &stage, std::uint32_t pieces, int rank,
                                                        Duration startsIn) const;

    /**
     * @brief Predicts the total duration of all stages of a request that starts now.
     * @param route Route of the request.
     * @param pieces Number of pieces of each stage of the route.
     * @param rank Priority rank of the request.
     * @return Time until the last stage is complete; nothing if a pool has no endpoint that accepts work.
     */
    [[nodiscard]] std::optional<Duration> totalDuration(const Route &route, const std::vector<std::uint32_t> &pieces,
                                                        int rank) const;

private:
    const Catalog &m_catalog;
    PoolEstimator m_estimator;
};

} // namespace bergamottide::serving
