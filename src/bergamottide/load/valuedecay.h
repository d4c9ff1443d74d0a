#pragma once

#include "bergamottide/core/time.h"

#include <array>
#include <cstddef>

namespace bergamottide::load {

/**
 * @brief Learns from successive reports how fast a reported value loses its predictive value.
 *
 * It averages the squared difference of two reports of the same endpoint by the logarithm of the time between them, and
 * compares it with the variance of the reports. Two unrelated reports differ by twice the variance in the mean square,
 * so the weight is one minus the ratio of the two. Weighted in this way between the latest report and the mean, the
 * estimate has the smallest mean squared error.
 */
class ValueDecay
{
public:
    /*! @brief Creates an object that uses assumed weights until it has learned others. */
    ValueDecay();

    /**
     * @brief Records two reports of one endpoint.
     * @param difference Difference of the two values.
     * @param between Time between them.
     */
    void recordPair(double difference, Duration between);

    /**
     * @brief Records one report.
     * @param deviation Difference between the value and the mean of its endpoint.
     */
    void recordDeviation(double deviation);

    /**
     * @brief Returns the weight of a report against the mean of its endpoint.
     * @param age Age of the report.
     * @return Number between 0 (no predictive value) and 1; does not increase with the age.
     */
    [[nodiscard]] double weight(Duration age) const;

private:
    /*! @brief Moving average whose first samples count equally. */
    struct Average
    {
        double mean{};
        double samples{};

        void add(double value);
    };

    /*! @brief Number of ranges of ages, each twice as long as the one before, from 1 ms to about 16 s. */
    static constexpr std::size_t rangeCount = 14;

    void updateWeights();

    std::array<Average, rangeCount> m_squaredDifferences;
    Average m_variance;
    /*! @brief Weight for each range of ages. */
    std::array<double, rangeCount> m_weights{};
};

} // namespace bergamottide::load
