#pragma once

#include "bergamottide/serving/endpointboard.h"
#include "bergamottide/serving/events.h"

#include <string_view>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief Picks the endpoint with the least load for a plain call.
 * @param usable Endpoints that take work.
 * @param excluded Endpoints that the request has been sent to before.
 * @param attempt Identity of the request; breaks ties differently for each request, so that processes that know
 * nothing of each other do not all pick the same one.
 * @return Endpoint, or null if none is left.
 */
[[nodiscard]] Endpoint *pickLeastLoaded(const std::vector<Endpoint *> &usable,
                                        const std::vector<InstanceName> &excluded, std::string_view attempt);

/*! @brief Returns the work at an endpoint: what it told, or what this process has there if that is more. */
[[nodiscard]] std::uint32_t loadOf(const Endpoint &endpoint);

} // namespace bergamottide::serving
