#include "bergamottide/load/valuedecay.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bergamottide::load {

namespace {

/*! @brief Samples that a moving average remembers. With fewer, its error would exceed a tenth of its value; with many
 * more, it would not follow a change of the load within a minute. */
constexpr double maxSamples = 400.0;
/*! @brief Weight of the assumed decay, in samples; fewer samples than these do not outvote it. */
constexpr double assumedSamples = 20.0;
/*! @brief Time constant of the assumed decay, in milliseconds. Endpoints change their pace many times per second, so a
 * report of half a second ago says little unless the reports show otherwise. */
constexpr double assumedDecayMilliseconds = 200.0;
/*! @brief Variance below which all reports count as equal; the decay cannot be told from these. */
constexpr double minVariance = 1e-9;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/*! @brief Returns the position of an age on the scale of ranges; range n is centred at n. */
double position(Duration age)
{
    constexpr double rangeCentre = 0.5;
    return std::log2(std::max(milliseconds(age), 1.0)) - rangeCentre;
}

/*! @brief Returns the assumed weight at the centre of a range. */
double assumedWeight(std::size_t range)
{
    constexpr double rangeCentre = 0.5;
    return std::exp(-std::exp2(static_cast<double>(range) + rangeCentre) / assumedDecayMilliseconds);
}

/*! @brief Consecutive ranges with a common weight. */
struct RangeGroup
{
    double weight{};
    double samples{};
    std::size_t ranges{};
};

/*! @brief Merges the last two groups as long as the weight increases with the age, which only chance explains. */
void mergeIncreasing(std::vector<RangeGroup> &groups)
{
    while (groups.size() > 1 && groups[groups.size() - 2].weight < groups.back().weight) {
        const RangeGroup last = groups.back();
        groups.pop_back();
        RangeGroup &group = groups.back();
        const double samples = group.samples + last.samples;
        group.weight = (group.weight * group.samples + last.weight * last.samples) / samples;
        group.samples = samples;
        group.ranges += last.ranges;
    }
}

} // namespace

void ValueDecay::Average::add(double value)
{
    samples = std::min(samples + 1.0, maxSamples);
    mean += (value - mean) / samples;
}

ValueDecay::ValueDecay()
{
    updateWeights();
}

void ValueDecay::recordPair(double difference, Duration between)
{
    const double range = std::round(std::max(position(between), 0.0));
    if (range >= static_cast<double>(rangeCount)) {
        return;
    }
    m_squaredDifferences.at(static_cast<std::size_t>(range)).add(difference * difference);
    updateWeights();
}

void ValueDecay::recordDeviation(double deviation)
{
    m_variance.add(deviation * deviation);
}

void ValueDecay::updateWeights()
{
    const bool isVarianceKnown = m_variance.mean > minVariance;
    std::vector<RangeGroup> groups;
    groups.reserve(rangeCount);
    for (std::size_t range = 0; range < rangeCount; ++range) {
        const Average &squared = m_squaredDifferences.at(range);
        const double samples = isVarianceKnown ? squared.samples : 0.0;
        const double measured = isVarianceKnown ? 1.0 - squared.mean / (2.0 * m_variance.mean) : 0.0;
        const double weight = (std::clamp(measured, 0.0, 1.0) * samples + assumedWeight(range) * assumedSamples)
            / (samples + assumedSamples);
        groups.push_back({weight, samples + assumedSamples, 1});
        mergeIncreasing(groups);
    }
    std::size_t range = 0;
    for (const RangeGroup &group : groups) {
        for (std::size_t index = 0; index < group.ranges; ++index) {
            m_weights.at(range++) = group.weight;
        }
    }
}

double ValueDecay::weight(Duration age) const
{
    const double at = position(age);
    if (at <= 0.0) {
        return m_weights.front();
    }
    const auto range = static_cast<std::size_t>(at);
    if (range >= rangeCount) {
        return 0.0;
    }
    // Beyond the last range the weight falls to zero.
    const double next = range + 1 < rangeCount ? m_weights.at(range + 1) : 0.0;
    return m_weights.at(range) + (next - m_weights.at(range)) * (at - static_cast<double>(range));
}

} // namespace bergamottide::load
