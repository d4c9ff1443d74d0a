#include "bergamottide/stages/drainrate.h"

#include "bergamottide/pools/endpointspeed.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace bergamottide::serving {

namespace {

/*! @brief Returns how long an endpoint has asked to get no calls; the short pauses after rejections do not count. */
Duration pauseOf(const Endpoint &endpoint, TimePoint now)
{
    return std::max(endpoint.requestedPauseEndsAt - now, Duration::zero());
}

/*! @brief Returns the time until the first endpoint takes calls. */
Duration shortestPause(const std::vector<Endpoint *> &endpoints, TimePoint now)
{
    Duration shortest = endpoints.empty() ? Duration::zero() : Duration::max();
    for (const Endpoint *endpoint : endpoints) {
        shortest = std::min(shortest, pauseOf(*endpoint, now));
    }
    return shortest;
}

/*! @brief Least effective slots of a pool; keeps waits finite. */
constexpr double minEffectiveSlots = 0.01;

/*!
 * @brief Returns the slots of the endpoints whose pauses do not outlast those of others by a call, weighted by speed
 * and reduced by their limits; counts at least one of the endpoints without a limit.
 */
double effectiveSlots(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints, const load::LoadTable &loads,
                      double itemsPerCall, TimePoint now)
{
    const double longest = minRelativeDuration(loads, endpoints, spec, now) * maxRelativeSlowness;
    const double callSeconds =
        std::chrono::duration<double>(spec.callTime + scaled(spec.itemTime, itemsPerCall)).count();
    double unlimited = 0.0;
    double limited = 0.0;
    bool hasUnlimited = false;
    // The other endpoints complete a call before one that is paused for longer starts.
    const Duration longestPause = shortestPause(endpoints, now) + spec.callTime;
    for (const Endpoint *endpoint : endpoints) {
        if (pauseOf(*endpoint, now) > longestPause) {
            continue;
        }
        const double duration = relativeDuration(loads, *endpoint, spec, now);
        const double slots = duration > longest ? 0.0 : spec.slots / duration;
        if (endpoint->requestLimit) {
            limited += std::min(slots, *endpoint->requestLimit * callSeconds);
            continue;
        }
        unlimited += slots;
        hasUnlimited = true;
    }
    const double least = hasUnlimited ? spec.slots : minEffectiveSlots;
    return limited + std::max(unlimited, least);
}

} // namespace

DrainRate::DrainRate(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints, const load::LoadTable &loads,
                     Duration remainingCallTime, double itemsPerCall, TimePoint now)
    : m_pause{shortestPause(endpoints, now)}
    , m_remainingCallTime{remainingCallTime}
    , m_callTime{spec.callTime}
    , m_itemTime{spec.itemTime}
    , m_itemsPerCall{itemsPerCall}
    , m_effectiveSlots{effectiveSlots(spec, endpoints, loads, itemsPerCall, now)}
{
}

Duration DrainRate::waitBehind(std::size_t pieces) const
{
    const auto calls = static_cast<std::int64_t>(std::floor(static_cast<double>(pieces) / m_itemsPerCall));
    const Duration work = m_remainingCallTime + m_itemTime * static_cast<std::int64_t>(pieces) + m_callTime * calls;
    return m_pause + scaled(work, 1.0 / m_effectiveSlots);
}

Duration DrainRate::timePerPiece() const
{
    return scaled(m_itemTime + scaled(m_callTime, 1.0 / m_itemsPerCall), 1.0 / m_effectiveSlots);
}

} // namespace bergamottide::serving
