#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/time.h"
#include "bergamottide/load/loadtable.h"
#include "bergamottide/pools/endpointregistry.h"

#include <vector>

namespace bergamottide::serving {

/*! @brief Endpoints whose relative duration exceeds that of the fastest one of their pool by this factor get no work.
 */
inline constexpr double maxRelativeSlowness = 2.2;

/**
 * @brief Returns how much slower than expected by its pace an endpoint is; past measurements decay exponentially.
 * @param endpoint Endpoint.
 * @param now Current time.
 * @return Ratio of measured to expected call duration; 1 is as expected.
 */
[[nodiscard]] double currentSlowness(const Endpoint &endpoint, TimePoint now);

/**
 * @brief Returns the expected pace of an endpoint during a stage call; 1 if its pool reports none.
 * @param loads Expected load and pace of the endpoints.
 * @param endpoint Endpoint.
 * @param spec Batching parameters of its pool.
 * @param now Start of the call.
 * @return Pace in the middle of a short call, as it may change several times until the end.
 */
[[nodiscard]] double paceOfCall(const load::LoadTable &loads, const Endpoint &endpoint, const BatchSpec &spec,
                                TimePoint now);

/*! @brief Returns the expected duration of a stage call relative to the configured one: the product of pace and
 * slowness. */
[[nodiscard]] double relativeDuration(const load::LoadTable &loads, const Endpoint &endpoint, const BatchSpec &spec,
                                      TimePoint now);

/*! @brief Returns the relative duration of the fastest endpoint; the largest double if there is none. */
[[nodiscard]] double minRelativeDuration(const load::LoadTable &loads, const std::vector<Endpoint *> &endpoints,
                                         const BatchSpec &spec, TimePoint now);

/**
 * @brief Updates the slowness of an endpoint after a call.
 * @param endpoint Endpoint.
 * @param ratio Ratio of measured to expected call duration.
 * @param now Current time.
 */
void updateSlowness(Endpoint &endpoint, double ratio, TimePoint now);

} // namespace bergamottide::serving
