#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/serving/endpointregistry.h"

#include <vector>

namespace bergamottide::serving {

/*! @brief Endpoints slower than the fastest one of their pool by more than this factor get no work. */
inline constexpr double maxRelativeSlowness = 2.2;

/**
 * @brief Returns how much slower than expected an endpoint is; past measurements decay exponentially.
 * @param endpoint Endpoint.
 * @param now Current time.
 * @return Ratio of measured to expected call duration; 1 is as expected.
 */
[[nodiscard]] double currentSlowness(const Endpoint &endpoint, TimePoint now);

/*! @brief Returns the slowness of the fastest endpoint; the largest double if there is none. */
[[nodiscard]] double minSlowness(const std::vector<Endpoint *> &endpoints, TimePoint now);

/**
 * @brief Updates the slowness of an endpoint after a call.
 * @param endpoint Endpoint.
 * @param ratio Ratio of measured to expected call duration.
 * @param now Current time.
 */
void updateSlowness(Endpoint &endpoint, double ratio, TimePoint now);

} // namespace bergamottide::serving
