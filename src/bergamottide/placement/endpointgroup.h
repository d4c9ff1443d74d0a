#pragma once

#include "bergamottide/placement/affinitymap.h"
#include "bergamottide/placement/endpointset.h"

#include <array>

namespace bergamottide {

/*! @brief Endpoints that can do the same work, by distance. */
struct EndpointGroup
{
    /*! @brief Endpoints that may be given new work. */
    std::array<EndpointSet, tierCount> available;
    /*! @brief Rendezvous over the available endpoints of the own zone, for cache affinity. */
    AffinityMap affine;

    /*! @brief Returns the set of a tier. */
    [[nodiscard]] const EndpointSet &at(Tier tier) const noexcept
    {
        return available[static_cast<std::size_t>(tier)];
    }

    /*! @brief Tells if no endpoint is available. */
    [[nodiscard]] bool empty() const noexcept
    {
        for (const EndpointSet &set : available) {
            if (set.size() > 0) {
                return false;
            }
        }
        return true;
    }

    /*! @brief Adds an available endpoint. */
    void add(const Endpoint &endpoint, EndpointNumber number)
    {
        available[static_cast<std::size_t>(endpoint.tier)].add(endpoint, number);
        if (endpoint.tier == Tier::OwnZone) {
            affine.add(number, endpoint.hash);
        }
    }

    /*! @brief Removes an endpoint that is no longer available. */
    void remove(const Endpoint &endpoint, EndpointNumber number)
    {
        available[static_cast<std::size_t>(endpoint.tier)].remove(endpoint, number);
        if (endpoint.tier == Tier::OwnZone) {
            affine.remove(number);
        }
    }
};

} // namespace bergamottide
