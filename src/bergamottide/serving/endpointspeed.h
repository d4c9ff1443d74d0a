#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/serving/endpointboard.h"

#include <vector>

namespace bergamottide::serving {

/*! @brief An endpoint slower than the fastest of its pool by this factor gets no work. */
inline constexpr double slownessBound = 2.2;

/**
 * @brief Returns how much slower than expected an endpoint is at present; what was measured fades.
 * @param endpoint Endpoint.
 * @param now Present time.
 * @return Factor; 1 is as expected.
 */
[[nodiscard]] double presentSlowness(const Endpoint &endpoint, TimePoint now);

/*! @brief Returns the slowness of the fastest endpoint; infinite without endpoints. */
[[nodiscard]] double fastestOf(const std::vector<Endpoint *> &endpoints, TimePoint now);

/**
 * @brief Notes how long a call took.
 * @param endpoint Endpoint.
 * @param ratio Measured over expected time.
 * @param now Present time.
 */
void noteSpeed(Endpoint &endpoint, double ratio, TimePoint now);

} // namespace bergamottide::serving
