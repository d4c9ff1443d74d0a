#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/catalog.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bergamottide::serving {

/*! @brief What a new task of some rank finds at a stage pool. */
struct PoolOutlook
{
    /*! @brief Wait behind the tasks that are in the queue now. */
    Duration wait{};
    /*! @brief Time by which each further piece in the queue lengthens the wait. */
    Duration perPiece{};
    /*! @brief Pieces of admitted requests that will reach the pool later. */
    std::uint64_t upcoming{};
    /*! @brief Typical number of items of a call; those of other requests prolong it. */
    double items{1.0};
    /*! @brief Share of the endpoints' memory for results that is taken. */
    double roomTaken{};
};

/*! @brief Tells the outlook at a pool for a rank; nothing if no endpoint takes work there. */
using OutlookHook = std::function<std::optional<PoolOutlook>(const PoolName &pool, int rank)>;

/**
 * @brief Forecasts the time that the stages of a request take from now until the last of them is done.
 *
 * Made for the begin of a burst: the queues of the later stages are still empty then, although the requests that will
 * fill them are already at work in the first. So what is admitted and still on its way to a pool counts like what waits
 * there.
 */
class StageForecast
{
public:
    /**
     * @brief Creates a forecast for one version of what is served.
     * @param catalog Pools; outlives the forecast.
     * @param outlook Tells what a task finds at a pool.
     */
    StageForecast(const Catalog &catalog, OutlookHook outlook);

    /**
     * @brief Forecasts one stage that starts some time from now.
     * @param stage Stage.
     * @param pieces Pieces of it.
     * @param rank Rank of the request.
     * @param startsIn Time until its task is submitted.
     * @return Time from its submission to its end; nothing if no endpoint takes it.
     */
    [[nodiscard]] std::optional<Duration> stage(const StageSpec &stage, std::uint32_t pieces, int rank,
                                                Duration startsIn) const;

    /**
     * @brief Forecasts all stages of a request that starts now, level by level.
     * @param route Route of the request.
     * @param pieces Pieces of each stage of the route.
     * @param rank Rank of the request.
     * @return Time until the last stage is done; nothing if no endpoint takes one of them.
     */
    [[nodiscard]] std::optional<Duration> allStages(const Route &route, const std::vector<std::uint32_t> &pieces,
                                                    int rank) const;

private:
    const Catalog &m_catalog;
    OutlookHook m_outlook;
};

} // namespace bergamottide::serving
