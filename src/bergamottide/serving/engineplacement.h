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

/**
 * @brief Picks the engine for a generation: the one whose cache is likely to hold the prompt, unless it is loaded
 * well above the others.
 *
 * Every process ranks the engines of a session in the same order, by rendezvous hashing of a shared part of the
 * prompt, so that all of them send it to the same engine without talking to each other, and the loss of an engine moves
 * only its own sessions.
 *
 * @param usable Engines that take work.
 * @param excluded Engines that the request has been sent to before.
 * @param key Part of the prompt to place the request by; requests with the same one meet.
 * @return Engine, or null if none is left.
 */
[[nodiscard]] Endpoint *pickEngine(const std::vector<Endpoint *> &usable, const std::vector<InstanceName> &excluded,
                                   std::string_view key);

} // namespace bergamottide::serving
