#pragma once

#include "bergamottide/core/time.h"

#include <array>
#include <cstddef>

namespace bergamottide {

/**
 * @brief Histogram of recent demand by value density, the value per second of endpoint time.
 *
 * Demand decays exponentially; the half-life is shorter than typical deadlines, so that
 * the histogram follows a burst while it lasts.
 */
class DemandHistogram
{
public:
    /**
     * @brief Adds the demand of a request, admitted or not.
     * @param density Value per second of endpoint time, above zero.
     * @param cost Endpoint time of the request.
     * @param now Current time.
     */
    void add(double density, Duration cost, TimePoint now);

    /**
     * @brief Returns the share of the demand, in endpoint time, that has a higher density.
     * @param density Value per second of endpoint time, above zero.
     * @return From 0 to 1; zero without any demand.
     */
    [[nodiscard]] double shareAbove(double density) const noexcept;

private:
    /*! @brief Buckets per histogram, two per doubling of the density. */
    static constexpr std::size_t bucketCount = 64;

    [[nodiscard]] static std::size_t bucketOf(double density) noexcept;

    std::array<double, bucketCount> m_demand{};
    double m_total{};
    TimePoint m_decayedAt{};
};

} // namespace bergamottide
