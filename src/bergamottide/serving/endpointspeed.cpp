#include "bergamottide/serving/endpointspeed.h"

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

double minSlowness(const std::vector<Endpoint *> &endpoints, TimePoint now)
{
    double lowest = std::numeric_limits<double>::max();
    for (const Endpoint *endpoint : endpoints) {
        lowest = std::min(lowest, currentSlowness(*endpoint, now));
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
