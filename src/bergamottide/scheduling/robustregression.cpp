#include "bergamottide/scheduling/robustregression.h"

#include <algorithm>
#include <cmath>

namespace bergamottide {

namespace {

/*! @brief Weight of a new sample once many are known; averages over about the last twenty. */
constexpr double minSampleWeight = 0.05;
/*! @brief Initial samples that are not clamped, because the mean deviation is not known yet. */
constexpr std::uint64_t warmUpSamples = 4;
/*! @brief Residuals are clamped to this multiple of the mean deviation. */
constexpr double outlierDeviations = 3.0;
/*! @brief Residuals enter the mean deviation up to this multiple of the clamping bound. */
constexpr double maxDeviationGrowth = 2.0;
/*! @brief Share of the estimate added to the bound, so that a mean deviation of zero doesn't freeze the line. */
constexpr double relativeTolerance = 0.05;

} // namespace

void RobustRegression::learn(double x, double y)
{
    const double value = clampResidual(x, y);
    ++m_samples;
    const double weight = std::max(1.0 / static_cast<double>(m_samples), minSampleWeight);
    const double dx = x - m_meanX;
    const double dy = value - m_meanY;
    m_meanX += weight * dx;
    m_meanY += weight * dy;
    m_varianceX = (1.0 - weight) * (m_varianceX + weight * dx * dx);
    m_covariance = (1.0 - weight) * (m_covariance + weight * dx * dy);
}

double RobustRegression::estimate(double x) const
{
    return std::max(m_meanY + slope() * (x - m_meanX), 0.0);
}

std::uint64_t RobustRegression::samples() const noexcept
{
    return m_samples;
}

double RobustRegression::slope() const
{
    // A negative slope is noise: more work never takes less time.
    return m_varianceX > 0.0 ? std::max(m_covariance / m_varianceX, 0.0) : 0.0;
}

double RobustRegression::clampResidual(double x, double y)
{
    const double expected = estimate(x);
    const double residual = y - expected;
    const double size = std::abs(residual);
    if (m_samples < warmUpSamples) {
        m_deviation = std::max(m_deviation, size * (m_samples > 0 ? 1.0 : 0.0));
        return y;
    }
    const double bound = outlierDeviations * m_deviation + relativeTolerance * expected;
    m_deviation += minSampleWeight * 2.0 * (std::min(size, maxDeviationGrowth * bound) - m_deviation);
    return expected + std::clamp(residual, -bound, bound);
}

} // namespace bergamottide
