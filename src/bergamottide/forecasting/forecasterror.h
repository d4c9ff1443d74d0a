#pragma once

#include "bergamottide/core/time.h"

#include <cstdint>

namespace bergamottide::forecasting {

/**
 * @brief Error of the forecast responses of one route: mean and mean absolute deviation, decayed over time.
 *
 * The queue of a contended stage pool grows until the forecasts of admitted requests reach the objective. From then on
 * about half of them miss it unless the forecast errors are allowed for on admission.
 */
class ForecastError
{
public:
    /**
     * @brief Adds the error of one forecast.
     * @param error Measured time to the response minus its forecast; positive if the response was later.
     * @param now Current time.
     */
    void record(Duration error, TimePoint now);

    /*! @brief Returns whether there are enough recent samples to decide by. */
    [[nodiscard]] bool isReliable(TimePoint now) const;

    /**
     * @brief Returns the time to add to a forecast so that most responses are not later than the sum.
     * @param objective Objective of the route, which bounds the margin.
     * @param now Current time.
     * @return Mean plus mean absolute deviation, at most a third of the objective in either direction; negative if most
     * responses are earlier than forecast, as those of the less urgent requests are; zero without recent samples.
     */
    [[nodiscard]] Duration margin(Duration objective, TimePoint now) const;

private:
    [[nodiscard]] bool isForgotten(TimePoint now) const;

    /*! @brief Samples since the last that was forgotten. */
    std::uint64_t m_count{};
    /*! @brief Sum of the weights of the samples at `m_updatedAt`. */
    double m_weight{};
    /*! @brief Weighted means, in microseconds. */
    double m_mean{};
    double m_meanDeviation{};
    TimePoint m_updatedAt{};
};

} // namespace bergamottide::forecasting
