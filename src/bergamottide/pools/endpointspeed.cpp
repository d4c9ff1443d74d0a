#include "bergamottide/pools/endpointspeed.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamottide::serving {

namespace {

/*! @brief Weight of the latest call in the average: one call that takes five times as long raises it to 2.6. */
constexpr double slownessWeight = 0.4;
/*! @brief Time constant of the decay of slowness; a slow endpoint is tried again about every 2 s. */
constexpr double slownessDecaySeconds = 2.0;

} // namespace

double currentSlowness(const Endpoint &endpoint, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - endpoint.slownessUpdatedAt).count();
    return 1.0 + (endpoint.slowness - 1.0) * std::exp(-age / slownessDecaySeconds);
}

double paceOfCall(const load::LoadTable &loads, const Endpoint &endpoint, const BatchSpec &spec, TimePoint now)
{
    return loads.expectedPace(endpoint.record.pool, endpoint.record.instance, now + spec.callTime / 2);
}

double relativeDuration(const load::LoadTable &loads, const Endpoint &endpoint, const BatchSpec &spec, TimePoint now)
{
    return paceOfCall(loads, endpoint, spec, now) * currentSlowness(endpoint, now);
}

double minRelativeDuration(const load::LoadTable &loads, const std::vector<Endpoint *> &endpoints,
                           const BatchSpec &spec, TimePoint now)
{
    double lowest = std::numeric_limits<double>::max();
    for (const Endpoint *endpoint : endpoints) {
        lowest = std::min(lowest, relativeDuration(loads, *endpoint, spec, now));
    }
    return lowest;
}

void updateSlowness(Endpoint &endpoint, double ratio, TimePoint now)
{
    const double current = currentSlowness(endpoint, now);
    endpoint.slowness = current + slownessWeight * (ratio - current);
    endpoint.slownessUpdatedAt = now;
}

} // namespace bergamottide::serving
