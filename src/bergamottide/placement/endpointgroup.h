#pragma once

#include "bergamottide/placement/affinitymap.h"
#include "bergamottide/placement/endpointset.h"

#include <array>

namespace bergamottide {

/*! @brief Available endpoints that can serve the same runs, by tier. */
struct EndpointGroup
{
    /*! @brief Available endpoints, indexed by tier. */
    std::array<EndpointSet, tierCount> available;
    /*! @brief Maps prompt prefixes to the available endpoints of the own zone, for prefix cache affinity. */
    AffinityMap affinity;

    /*! @brief Returns the available endpoints of a tier. */
    [[nodiscard]] const EndpointSet &at(Tier tier) const noexcept
    {
        return available[static_cast<std::size_t>(tier)];
    }

    /*! @brief Returns whether no endpoint is available. */
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
            affinity.add(number, endpoint.hash);
        }
    }

    /*! @brief Removes an endpoint that is no longer available. */
    void remove(const Endpoint &endpoint, EndpointNumber number)
    {
        available[static_cast<std::size_t>(endpoint.tier)].remove(endpoint, number);
        if (endpoint.tier == Tier::OwnZone) {
            affinity.remove(number);
        }
    }
};

} // namespace bergamottide
