#include "bergamottide/serving/endpointspeed.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamottide::serving {

namespace {

/*! @brief Weight of the newest call in an endpoint's slowness: one slow call of five times the time lifts it to 2.6. */
constexpr double slownessWeight = 0.4;
/*! @brief Time constant with which slowness is forgotten, so that a slow endpoint is tried again about every 2 s. */
constexpr double slownessMemorySeconds = 2.0;

} // namespace

double presentSlowness(const Endpoint &endpoint, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - endpoint.slownessAt).count();
    return 1.0 + (endpoint.slowness - 1.0) * std::exp(-age / slownessMemorySeconds);
}

double fastestOf(const std::vector<Endpoint *> &endpoints, TimePoint now)
{
    double fastest = std::numeric_limits<double>::max();
    for (const Endpoint *endpoint : endpoints) {
        fastest = std::min(fastest, presentSlowness(*endpoint, now));
    }
    return fastest;
}

void noteSpeed(Endpoint &endpoint, double ratio, TimePoint now)
{
    const double known = presentSlowness(endpoint, now);
    endpoint.slowness = known + slownessWeight * (ratio - known);
    endpoint.slownessAt = now;
}

} // namespace bergamottide::serving
