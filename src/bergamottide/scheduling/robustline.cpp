#include "bergamottide/scheduling/robustline.h"

#include <algorithm>
#include <cmath>

namespace bergamottide {

namespace {

/*! @brief Weight of a new sample once many are known: the last twenty count most, so that a change shows in seconds. */
constexpr double newest = 0.05;
/*! @brief Samples taken as they are, before there is a usual deviation to compare with. */
constexpr std::uint64_t warmUp = 4;
/*! @brief Usual deviations from the line beyond which a sample counts no further. */
constexpr double outlier = 3.0;
/*! @brief Growth of the usual deviation in one step at most, in widths of the outlier bound. */
constexpr double widening = 2.0;
/*! @brief Share of the estimate that never counts as deviation: perfectly regular samples must not freeze the line. */
constexpr double tolerance = 0.05;

} // namespace

void RobustLine::learn(double x, double y)
{
    const double value = tame(x, y);
    ++m_samples;
    const double weight = std::max(1.0 / static_cast<double>(m_samples), newest);
    const double dx = x - m_meanX;
    const double dy = value - m_meanY;
    m_meanX += weight * dx;
    m_meanY += weight * dy;
    m_varianceX = (1.0 - weight) * (m_varianceX + weight * dx * dx);
    m_covariance = (1.0 - weight) * (m_covariance + weight * dx * dy);
}

double RobustLine::estimate(double x) const
{
    return std::max(m_meanY + slope() * (x - m_meanX), 0.0);
}

std::uint64_t RobustLine::samples() const noexcept
{
    return m_samples;
}

double RobustLine::slope() const
{
    // More work never takes less time: a falling line is noise.
    return m_varianceX > 0.0 ? std::max(m_covariance / m_varianceX, 0.0) : 0.0;
}

double RobustLine::tame(double x, double y)
{
    const double expected = estimate(x);
    const double residual = y - expected;
    const double size = std::abs(residual);
    if (m_samples < warmUp) {
        m_deviation = std::max(m_deviation, size * (m_samples > 0 ? 1.0 : 0.0));
        return y;
    }
    const double bound = outlier * m_deviation + tolerance * expected;
    m_deviation += newest * 2.0 * (std::min(size, widening * bound) - m_deviation);
    return expected + std::clamp(residual, -bound, bound);
}

} // namespace bergamottide
