#pragma once

#include <cstdint>

namespace bergamottide {

/**
 * @brief Straight line through samples that arrive one by one, robust to outliers.
 *
 * Least squares with exponentially fading weights. A sample far from the line counts only
 * up to a few times the usual deviation, so that one stuck run moves nothing; the usual
 * deviation itself widens while such samples go on, so that a lasting change (an endpoint
 * that has become ten times slower) is believed after a few dozen of them.
 */
class RobustLine
{
public:
    /**
     * @brief Learns a sample.
     * @param x Position, for instance a size.
     * @param y Value there, for instance a time.
     */
    void learn(double x, double y);

    /**
     * @brief Estimates the value at a position.
     * @param x Position.
     * @return Estimate, never negative; zero before the first sample.
     */
    [[nodiscard]] double estimate(double x) const;

    /*! @brief Returns the number of samples so far. */
    [[nodiscard]] std::uint64_t samples() const noexcept;

private:
    [[nodiscard]] double slope() const;
    [[nodiscard]] double tame(double x, double y);

    std::uint64_t m_samples{};
    double m_meanX{};
    double m_meanY{};
    double m_varianceX{};
    double m_covariance{};
    double m_deviation{};
};

} // namespace bergamottide
