#include "bergamottide/stages/stageforecast.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamottide::serving {

StageForecast::StageForecast(const Catalog &catalog, PoolEstimator estimator)
    : m_catalog{catalog}
    , m_estimator{std::move(estimator)}
{
}

std::optional<Duration> StageForecast::stageDuration(const StageSpec &stage, std::uint32_t pieces, int rank,
                                                     Duration startsIn) const
{
    const Pool *pool = m_catalog.findPool(stage.pool);
    const auto estimate = m_estimator(stage.pool, rank);
    if (pool == nullptr || !pool->batch || !estimate) {
        return std::nullopt;
    }
    Duration wait = estimate->wait;
    if (startsIn > Duration::zero()) {
        // Upcoming pieces are queued before this task; meanwhile the queue drains.
        wait += estimate->timePerPiece * static_cast<std::int64_t>(estimate->upcomingPieces);
        wait = std::max(wait - startsIn, Duration::zero());
    }
    const auto items = std::max<std::int64_t>(pieces, std::llround(estimate->itemsPerCall));
    return wait + pool->batch->callTime + pool->batch->itemTime * items;
}

std::optional<Duration> StageForecast::totalDuration(const Route &route, const std::vector<std::uint32_t> &pieces,
                                                     int rank) const
{
    Duration sum{};
    for (std::uint32_t level = route.maxLevel(); level > 0; --level) {
        Duration levelDuration{};
        for (std::size_t index = 0; index < route.stages.size() && index < pieces.size(); ++index) {
            if (route.stages[index].level != level || pieces[index] == 0) {
                continue;
            }
            const auto duration = stageDuration(route.stages[index], pieces[index], rank, sum);
            if (!duration) {
                return std::nullopt;
            }
            levelDuration = std::max(levelDuration, *duration);
        }
        sum += levelDuration;
    }
    return sum;
}

} // namespace bergamottide::serving
