#include "bergamottide/serving/drainrate.h"

#include "bergamottide/serving/endpointspeed.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace bergamottide::serving {

namespace {

/*! @brief Returns the slots of all endpoints, weighted by speed; counts at least one endpoint. */
double effectiveSlots(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints, TimePoint now)
{
    const double maxSlowness = minSlowness(endpoints, now) * maxRelativeSlowness;
    double sum = 0.0;
    for (const Endpoint *endpoint : endpoints) {
        const double slowness = currentSlowness(*endpoint, now);
        sum += slowness > maxSlowness ? 0.0 : 1.0 / slowness;
    }
    return std::max(sum, 1.0) * spec.slots;
}

} // namespace

DrainRate::DrainRate(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints, Duration remainingCallTime,
                     double itemsPerCall, TimePoint now)
    : m_remainingCallTime{remainingCallTime}
    , m_callTime{spec.callTime}
    , m_itemTime{spec.itemTime}
    , m_itemsPerCall{itemsPerCall}
    , m_effectiveSlots{effectiveSlots(spec, endpoints, now)}
{
}

Duration DrainRate::waitBehind(std::size_t pieces) const
{
    const auto calls = static_cast<std::int64_t>(std::floor(static_cast<double>(pieces) / m_itemsPerCall));
    const Duration work = m_remainingCallTime + m_itemTime * static_cast<std::int64_t>(pieces) + m_callTime * calls;
    return scaled(work, 1.0 / m_effectiveSlots);
}

Duration DrainRate::timePerPiece() const
{
    return scaled(m_itemTime + scaled(m_callTime, 1.0 / m_itemsPerCall), 1.0 / m_effectiveSlots);
}

} // namespace bergamottide::serving
