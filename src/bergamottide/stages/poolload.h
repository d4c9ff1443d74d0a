#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace bergamottide::serving {

/**
 * @brief Moving averages of the load of a stage pool: items in each call, and arrival rates by rank.
 */
class PoolLoad
{
public:
    /**
     * @brief Records a task that was queued.
     * @param rank Priority rank of the task.
     * @param pieces Number of its pieces.
     * @param now Current time.
     */
    void recordArrival(int rank, std::uint32_t pieces, TimePoint now);

    /**
     * @brief Records a call.
     * @param spec Batching parameters of the pool.
     * @param items Number of items in the call.
     * @param waiting Number of pieces that were waiting when it was planned.
     */
    void recordCall(const BatchSpec &spec, std::size_t items, std::size_t waiting);

    /*! @brief Returns the average items of a call while a full batch waits; the batch size before the first one. */
    [[nodiscard]] double backlogItemsPerCall(const BatchSpec &spec) const noexcept;

    /*! @brief Returns the average items of all calls; starts at one. */
    [[nodiscard]] double itemsPerCall() const noexcept;

    /**
     * @brief Returns the arrival rate of more urgent work, in pieces per second.
     * @param rank Rank; only lower ranks count.
     * @param now Current time.
     */
    [[nodiscard]] double moreUrgentArrivalRate(int rank, TimePoint now) const;

    /*! @brief Returns the arrival rate of work of a rank, in pieces per second. */
    [[nodiscard]] double arrivalRate(int rank, TimePoint now) const;

private:
    struct Rate
    {
        double perSecond{};
        TimePoint updatedAt{};
    };

    double m_backlogItemsPerCall{};
    double m_itemsPerCall{1.0};
    std::map<int, Rate> m_arrivalRates;
};

} // namespace bergamottide::serving
