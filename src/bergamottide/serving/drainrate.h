#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/serving/catalog.h"
#include "bergamottide/serving/endpointboard.h"

#include <cstddef>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief How fast the queue of a stage pool drains, worked out once for all tasks that are judged by it.
 *
 * Made for a burst at a pool of dozens of endpoints: looking at each of them again for each task that waits lets the
 * process that keeps the queue fall behind the faster, the more waits.
 */
class DrainRate
{
public:
    /**
     * @brief Works the rate out.
     * @param spec How the pool's endpoints work.
     * @param endpoints Endpoints that take work.
     * @param busy Time that calls in progress will still take, added up.
     * @param fill Typical items of a call while more than one call waits.
     * @param now Present time.
     */
    DrainRate(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints, Duration busy, double fill,
              TimePoint now);

    /*! @brief Returns the wait of a task behind so many pieces and the calls in progress. */
    [[nodiscard]] Duration waitBehind(std::size_t pieces) const;

    /*! @brief Returns the time by which each further piece ahead lengthens the wait. */
    [[nodiscard]] Duration perPiece() const;

private:
    Duration m_busy;
    Duration m_callTime;
    Duration m_itemTime;
    double m_fill;
    /*! @brief Endpoints of the expected speed that the pool's slots amount to. */
    double m_capacity;
};

} // namespace bergamottide::serving
