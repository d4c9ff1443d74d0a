#include "bergamottide/forecasting/forecasterror.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bergamottide::forecasting {

namespace {

/*! @brief Time in which the weight of a sample falls to 1/e; several times an objective, and about as long as a burst.
 */
constexpr Duration decayTime = std::chrono::seconds{10};
/*! @brief Time without a sample after which all are forgotten, as the pools are likely to have another load by then. */
constexpr Duration maxSampleAge = 3 * decayTime;
/*! @brief Samples needed for a decision; fewer may all come from the same few stage calls. */
constexpr std::uint64_t minSamples = 20;
/*! @brief The margin is at most the objective divided by this, in both directions, so that requests are admitted while
 * the pools have a short queue and rejected with a long one, whatever the errors were. */
constexpr int marginDivisor = 3;

} // namespace

void ForecastError::record(Duration error, TimePoint now)
{
    if (isForgotten(now)) {
        *this = ForecastError{};
    }
    const auto sample = static_cast<double>(error.count());
    if (m_count == 0) {
        m_mean = sample;
        m_weight = 1.0;
    } else {
        const Duration elapsed = std::max(now - m_updatedAt, Duration::zero());
        m_weight = 1.0 + m_weight * std::exp(-std::chrono::duration<double>(elapsed) / decayTime);
        // The deviation is from the mean before this sample; the mean after it is closer to the sample.
        m_meanDeviation += (std::abs(sample - m_mean) - m_meanDeviation) / m_weight;
        m_mean += (sample - m_mean) / m_weight;
    }
    m_updatedAt = std::max(m_updatedAt, now);
    ++m_count;
}

bool ForecastError::isReliable(TimePoint now) const
{
    return m_count >= minSamples && !isForgotten(now);
}

Duration ForecastError::margin(Duration objective, TimePoint now) const
{
    if (m_count == 0 || isForgotten(now)) {
        return Duration::zero();
    }
    const double bound = std::max(static_cast<double>(objective.count()) / marginDivisor, 0.0);
    return Duration{static_cast<Duration::rep>(std::clamp(m_mean + m_meanDeviation, -bound, bound))};
}

bool ForecastError::isForgotten(TimePoint now) const
{
    return m_count != 0 && now - m_updatedAt > maxSampleAge;
}

} // namespace bergamottide::forecasting
