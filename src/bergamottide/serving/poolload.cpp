#include "bergamottide/serving/poolload.h"

#include <cmath>

namespace bergamottide::serving {

namespace {

/*! @brief Weight of the newest call in the typical number of items. */
constexpr double callWeight = 0.1;
/*! @brief Time constant of the rates of arrival: a burst shows within a second, single clumps do not. */
constexpr double rateMemorySeconds = 1.0;

double decay(TimePoint since, TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(now - since).count() / rateMemorySeconds);
}

} // namespace

void PoolLoad::noteArrival(int rank, std::uint32_t pieces, TimePoint now)
{
    Rate &rate = m_arrivals[rank];
    rate.perSecond = rate.perSecond * decay(rate.at, now) + pieces / rateMemorySeconds;
    rate.at = now;
}

void PoolLoad::noteCall(const BatchSpec &spec, std::size_t items, std::size_t waiting)
{
    m_items += callWeight * (static_cast<double>(items) - m_items);
    if (waiting >= spec.batch) {
        const double known = fill(spec);
        m_fill = known + callWeight * (static_cast<double>(items) - known);
    }
}

double PoolLoad::fill(const BatchSpec &spec) const noexcept
{
    return m_fill > 0.0 ? m_fill : static_cast<double>(spec.batch);
}

double PoolLoad::items() const noexcept
{
    return m_items;
}

double PoolLoad::urgentRate(int rank, TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[other, rate] : m_arrivals) {
        if (other >= rank) {
            break;
        }
        sum += rate.perSecond * decay(rate.at, now);
    }
    return sum;
}

} // namespace bergamottide::serving
