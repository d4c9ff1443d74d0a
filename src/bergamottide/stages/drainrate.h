#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/time.h"
#include "bergamottide/pools/endpointregistry.h"

#include <cstddef>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief Estimate of how fast the queue of a stage pool drains.
 *
 * Computed once per queue scan: evaluating every endpoint for every waiting task is too slow for long queues.
 */
class DrainRate
{
public:
    /**
     * @brief Computes the drain rate.
     * @param spec Batching parameters of the pool.
     * @param endpoints Endpoints that accept work.
     * @param loads Expected load and pace of the endpoints.
     * @param remainingCallTime Sum of the remaining times of all calls in progress.
     * @param itemsPerCall Average number of items in a call while there is a backlog.
     * @param now Current time.
     */
    DrainRate(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints, const load::LoadTable &loads,
              Duration remainingCallTime, double itemsPerCall, TimePoint now);

    /*! @brief Returns how long a task waits for the calls in progress and a number of pieces queued before it. */
    [[nodiscard]] Duration waitBehind(std::size_t pieces) const;

    /*! @brief Returns the additional wait for each piece ahead. */
    [[nodiscard]] Duration timePerPiece() const;

private:
    /*! @brief Time until the first endpoint takes calls. */
    Duration m_pause;
    Duration m_remainingCallTime;
    Duration m_callTime;
    Duration m_itemTime;
    double m_itemsPerCall;
    /*! @brief Slots of the pool, weighted by the speed of their endpoints. */
    double m_effectiveSlots;
};

} // namespace bergamottide::serving
