#pragma once

#include <cstdint>

namespace bergamottide {

/**
 * @brief Online linear regression that is robust to outliers.
 *
 * Least squares with exponentially decaying weights. Residuals are clamped to a few times
 * the mean deviation, so that a single outlier has little effect. The mean deviation grows
 * while large residuals continue, so that a lasting change of level is followed after a
 * few dozen samples.
 */
class RobustRegression
{
public:
    /**
     * @brief Adds a sample.
     * @param x Independent variable, for instance a size.
     * @param y Dependent variable, for instance a time.
     */
    void learn(double x, double y);

    /**
     * @brief Predicts the value at `x`.
     * @return Prediction, never negative; zero before the first sample.
     */
    [[nodiscard]] double estimate(double x) const;

    /*! @brief Returns the number of samples so far. */
    [[nodiscard]] std::uint64_t samples() const noexcept;

private:
    [[nodiscard]] double slope() const;
    [[nodiscard]] double clampResidual(double x, double y);

    std::uint64_t m_samples{};
    double m_meanX{};
    double m_meanY{};
    double m_varianceX{};
    double m_covariance{};
    double m_deviation{};
};

} // namespace bergamottide
