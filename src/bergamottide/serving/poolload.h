#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/serving/catalog.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace bergamottide::serving {

/**
 * @brief What the owner of a stage pool's queue has measured of its load: how full calls are, and which work arrives.
 */
class PoolLoad
{
public:
    /**
     * @brief Notes a task that has joined the queue.
     * @param rank Its rank.
     * @param pieces Its pieces.
     * @param now Present time.
     */
    void noteArrival(int rank, std::uint32_t pieces, TimePoint now);

    /**
     * @brief Notes a call.
     * @param spec How the pool's endpoints work.
     * @param items Items of the call.
     * @param waiting Pieces that waited before it was made up.
     */
    void noteCall(const BatchSpec &spec, std::size_t items, std::size_t waiting);

    /*! @brief Returns the typical items of a call while more than one call waits; a full batch before any is known. */
    [[nodiscard]] double fill(const BatchSpec &spec) const noexcept;

    /*! @brief Returns the typical items of any call; one before any is known. */
    [[nodiscard]] double items() const noexcept;

    /**
     * @brief Returns the pieces a second that arrive with a more urgent rank.
     * @param rank Rank.
     * @param now Present time.
     */
    [[nodiscard]] double urgentRate(int rank, TimePoint now) const;

private:
    struct Rate
    {
        double perSecond{};
        TimePoint at{};
    };

    double m_fill{};
    double m_items{1.0};
    std::map<int, Rate> m_arrivals;
};

} // namespace bergamottide::serving
