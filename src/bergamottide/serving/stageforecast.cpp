#include "bergamottide/serving/stageforecast.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamottide::serving {

StageForecast::StageForecast(const Catalog &catalog, OutlookHook outlook)
    : m_catalog{catalog}
    , m_outlook{std::move(outlook)}
{
}

std::optional<Duration> StageForecast::stage(const StageSpec &stage, std::uint32_t pieces, int rank,
                                             Duration startsIn) const
{
    const Pool *pool = m_catalog.pool(stage.pool);
    const auto outlook = m_outlook(stage.pool, rank);
    if (pool == nullptr || !pool->batch || !outlook) {
        return std::nullopt;
    }
    Duration wait = outlook->wait;
    if (startsIn > Duration::zero()) {
        // What is on its way comes before this task, and the queue is worked off meanwhile.
        wait += outlook->perPiece * static_cast<std::int64_t>(outlook->upcoming);
        wait = std::max(wait - startsIn, Duration::zero());
    }
    const auto items = std::max<std::int64_t>(pieces, std::llround(outlook->items));
    return wait + pool->batch->callTime + pool->batch->itemTime * items;
}

std::optional<Duration> StageForecast::allStages(const Route &route, const std::vector<std::uint32_t> &pieces,
                                                 int rank) const
{
    Duration sum{};
    for (std::uint32_t level = route.topLevel(); level > 0; --level) {
        Duration longest{};
        for (std::size_t index = 0; index < route.stages.size() && index < pieces.size(); ++index) {
            if (route.stages[index].level != level || pieces[index] == 0) {
                continue;
            }
            const auto time = stage(route.stages[index], pieces[index], rank, sum);
            if (!time) {
                return std::nullopt;
            }
            longest = std::max(longest, *time);
        }
        sum += longest;
    }
    return sum;
}

} // namespace bergamottide::serving
