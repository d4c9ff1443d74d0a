#pragma once

#include "bergamottide/events/events.h"
#include "bergamottide/pools/endpointregistry.h"

#include <string_view>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief Returns the endpoint with the least load per slot for a plain call.
 * @param usable Endpoints that accept work.
 * @param excluded Endpoints to which the request was already sent.
 * @param attempt Identity of the request; breaks ties by hash, so that processes do not all choose the same endpoint.
 * @return Endpoint, or null if all are excluded.
 */
[[nodiscard]] Endpoint *pickLeastLoaded(const std::vector<Endpoint *> &usable,
                                        const std::vector<InstanceName> &excluded, std::string_view attempt);

/**
 * @brief Returns the less loaded of two endpoints for a plain call in a pool that reports a pace.
 * @param usable Endpoints that accept work.
 * @param excluded Endpoints to which the request was already sent.
 * @param attempt Identity of the request; determines the two endpoints.
 * @param loads Expected load and pace of the endpoints.
 * @param now Current time.
 * @return Endpoint, or null if all are excluded.
 */
[[nodiscard]] Endpoint *pickLessLoadedOfTwo(const std::vector<Endpoint *> &usable,
                                            const std::vector<InstanceName> &excluded, std::string_view attempt,
                                            const load::LoadTable &loads, TimePoint now);

/*! @brief Returns the number of requests at an endpoint: its reported load, or those in flight from this process if
 * more. */
[[nodiscard]] std::uint32_t currentLoad(const Endpoint &endpoint);

} // namespace bergamottide::serving
