#include "bergamottide/admission/valuedemand.h"

#include <algorithm>
#include <cmath>

namespace bergamottide {

namespace {

constexpr double bucketsPerDoubling = 2.0;
constexpr double middleBucket = 32.0;
constexpr double halfLifeSeconds = 2.0;
/*! @brief Time after which the decay is carried out: exact enough, and cheap. */
constexpr Duration decayStep = std::chrono::milliseconds{50};

} // namespace

std::size_t ValueDemand::bucketOf(double density) noexcept
{
    const double bucket = std::floor(std::log2(std::max(density, 1e-9)) * bucketsPerDoubling) + middleBucket;
    return static_cast<std::size_t>(std::clamp(bucket, 0.0, static_cast<double>(bucketCount - 1)));
}

void ValueDemand::add(double density, Duration cost, TimePoint now)
{
    if (now - m_decayed >= decayStep) {
        const double passed = std::chrono::duration<double>(now - m_decayed).count();
        const double factor = std::exp2(-passed / halfLifeSeconds);
        m_total = 0.0;
        for (double &demand : m_demand) {
            demand *= factor;
            m_total += demand;
        }
        m_decayed = now;
    }
    const auto weight = static_cast<double>(cost.count());
    m_demand[bucketOf(density)] += weight;
    m_total += weight;
}

double ValueDemand::shareAbove(double density) const noexcept
{
    double above = 0.0;
    for (std::size_t bucket = bucketOf(density) + 1; bucket < bucketCount; ++bucket) {
        above += m_demand[bucket];
    }
    return m_total > 0.0 ? std::min(1.0, above / m_total) : 0.0;
}

} // namespace bergamottide
