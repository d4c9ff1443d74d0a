#pragma once

#include "bergamottide/core/time.h"

#include <array>
#include <cstddef>

namespace bergamottide {

/**
 * @brief Recent demand by value per second of endpoint time.
 *
 * Tells which share of the demand is worth more than a given request. The demand of the
 * past counts with a half-life of two seconds, which is shorter than a deadline, so that
 * the order of kinds follows a burst while it lasts.
 */
class ValueDemand
{
public:
    /**
     * @brief Adds a request to the demand, whether or not it is admitted.
     * @param density Value per second of endpoint time, above zero.
     * @param cost Endpoint time.
     * @param now Present time.
     */
    void add(double density, Duration cost, TimePoint now);

    /**
     * @brief Returns the share of the demand, in endpoint time, that is worth more.
     * @param density Value per second of endpoint time, above zero.
     * @return From 0 to 1; zero when nothing is known.
     */
    [[nodiscard]] double shareAbove(double density) const noexcept;

private:
    /*! @brief Two buckets per doubling: kinds whose worth differs by less than half are alike. */
    static constexpr std::size_t bucketCount = 64;

    [[nodiscard]] static std::size_t bucketOf(double density) noexcept;

    std::array<double, bucketCount> m_demand{};
    double m_total{};
    TimePoint m_decayed{};
};

} // namespace bergamottide
