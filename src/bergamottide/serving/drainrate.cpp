#include "bergamottide/serving/drainrate.h"

#include "bergamottide/serving/endpointspeed.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace bergamottide::serving {

namespace {

/*! @brief Returns how many endpoints of the expected speed the slots amount to, at least one. */
double capacityOf(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints, TimePoint now)
{
    const double bound = fastestOf(endpoints, now) * slownessBound;
    double sum = 0.0;
    for (const Endpoint *endpoint : endpoints) {
        const double slowness = presentSlowness(*endpoint, now);
        sum += slowness > bound ? 0.0 : 1.0 / slowness;
    }
    return std::max(sum, 1.0) * spec.slots;
}

} // namespace

DrainRate::DrainRate(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints, Duration busy, double fill,
                     TimePoint now)
    : m_busy{busy}
    , m_callTime{spec.callTime}
    , m_itemTime{spec.itemTime}
    , m_fill{fill}
    , m_capacity{capacityOf(spec, endpoints, now)}
{
}

Duration DrainRate::waitBehind(std::size_t pieces) const
{
    const auto calls = static_cast<std::int64_t>(std::floor(static_cast<double>(pieces) / m_fill));
    const Duration work = m_busy + m_itemTime * static_cast<std::int64_t>(pieces) + m_callTime * calls;
    return scaled(work, 1.0 / m_capacity);
}

Duration DrainRate::perPiece() const
{
    return scaled(m_itemTime + scaled(m_callTime, 1.0 / m_fill), 1.0 / m_capacity);
}

} // namespace bergamottide::serving
