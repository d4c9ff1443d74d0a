#include "bergamottide/admission/demandhistogram.h"

#include <algorithm>
#include <cmath>

namespace bergamottide {

namespace {

constexpr double bucketsPerDoubling = 2.0;
/*! @brief Bucket of the density 1. */
constexpr double unitBucket = 32.0;
constexpr double halfLifeSeconds = 2.0;
/*! @brief Interval at which the decay is applied to all buckets. */
constexpr Duration decayInterval = std::chrono::milliseconds{50};

} // namespace

std::size_t DemandHistogram::bucketOf(double density) noexcept
{
    const double bucket = std::floor(std::log2(std::max(density, 1e-9)) * bucketsPerDoubling) + unitBucket;
    return static_cast<std::size_t>(std::clamp(bucket, 0.0, static_cast<double>(bucketCount - 1)));
}

void DemandHistogram::add(double density, Duration cost, TimePoint now)
{
    if (now - m_decayedAt >= decayInterval) {
        const double elapsed = std::chrono::duration<double>(now - m_decayedAt).count();
        const double factor = std::exp2(-elapsed / halfLifeSeconds);
        m_total = 0.0;
        for (double &demand : m_demand) {
            demand *= factor;
            m_total += demand;
        }
        m_decayedAt = now;
    }
    const auto weight = static_cast<double>(cost.count());
    m_demand[bucketOf(density)] += weight;
    m_total += weight;
}

double DemandHistogram::shareAbove(double density) const noexcept
{
    double above = 0.0;
    for (std::size_t bucket = bucketOf(density) + 1; bucket < bucketCount; ++bucket) {
        above += m_demand[bucket];
    }
    return m_total > 0.0 ? std::min(1.0, above / m_total) : 0.0;
}

} // namespace bergamottide
