#include "bergamottide/stages/poolload.h"

#include <cmath>

namespace bergamottide::serving {

namespace {

/*! @brief Weight of the latest call in the moving averages of items. */
constexpr double callWeight = 0.1;
/*! @brief Time constant of the arrival rates; smooths out short bursts. */
constexpr double arrivalDecaySeconds = 1.0;

double decayFactor(TimePoint since, TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(now - since).count() / arrivalDecaySeconds);
}

} // namespace

void PoolLoad::recordArrival(int rank, std::uint32_t pieces, TimePoint now)
{
    Rate &rate = m_arrivalRates[rank];
    rate.perSecond = rate.perSecond * decayFactor(rate.updatedAt, now) + pieces / arrivalDecaySeconds;
    rate.updatedAt = now;
}

void PoolLoad::recordCall(const BatchSpec &spec, std::size_t items, std::size_t waiting)
{
    m_itemsPerCall += callWeight * (static_cast<double>(items) - m_itemsPerCall);
    if (waiting >= spec.maxItems) {
        const double current = backlogItemsPerCall(spec);
        m_backlogItemsPerCall = current + callWeight * (static_cast<double>(items) - current);
    }
}

double PoolLoad::backlogItemsPerCall(const BatchSpec &spec) const noexcept
{
    return m_backlogItemsPerCall > 0.0 ? m_backlogItemsPerCall : static_cast<double>(spec.maxItems);
}

double PoolLoad::itemsPerCall() const noexcept
{
    return m_itemsPerCall;
}

double PoolLoad::moreUrgentArrivalRate(int rank, TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[other, rate] : m_arrivalRates) {
        if (other >= rank) {
            break;
        }
        sum += rate.perSecond * decayFactor(rate.updatedAt, now);
    }
    return sum;
}

double PoolLoad::arrivalRate(int rank, TimePoint now) const
{
    const auto found = m_arrivalRates.find(rank);
    return found == m_arrivalRates.end() ? 0.0 : found->second.perSecond * decayFactor(found->second.updatedAt, now);
}

} // namespace bergamottide::serving
