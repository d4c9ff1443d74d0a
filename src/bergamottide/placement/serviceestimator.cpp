#include "bergamottide/placement/serviceestimator.h"

#include <algorithm>
#include <cmath>

namespace bergamottide {

namespace {

/*! @brief Samples after which each new one counts the same: follows a change of level within about twenty. */
constexpr std::uint32_t settledSamples = 20;
/*! @brief Samples counted at most: by then the coarser estimate no longer matters. */
constexpr std::uint32_t mostSamples = 1000;
/*! @brief Largest step, as a natural logarithm: a sample more than twice off counts like one that is twice off. */
constexpr double largestStep = 0.6931;
/*! @brief Weight of the coarser estimate, in samples. */
constexpr double coarserWeight = 2.0;
/*! @brief Stands for all sizes of a stage and kind. */
constexpr int anySize = -1;
/*! @brief Classes kept at most; kinds and sizes come from callers, so they must not grow without bound. */
constexpr std::size_t classLimit = 65536;

int sizeClass(double size)
{
    return size < 1.0 ? 0 : 1 + std::ilogb(size);
}

double blend(const RobustMean &mean, double coarser)
{
    const double samples = mean.samples();
    const double logarithm =
        (samples * std::log(mean.value()) + coarserWeight * std::log(coarser)) / (samples + coarserWeight);
    return std::exp(logarithm);
}

} // namespace

void RobustMean::add(double value)
{
    const double logarithm = std::log(value);
    if (m_samples == 0) {
        m_log = logarithm;
        m_samples = 1;
        return;
    }
    m_samples = std::min(m_samples + 1, mostSamples);
    m_log += std::clamp(logarithm - m_log, -largestStep, largestStep) / std::min(m_samples, settledSamples);
}

double RobustMean::value() const
{
    return std::exp(m_log);
}

std::uint32_t RobustMean::samples() const noexcept
{
    return m_samples;
}

Duration ServiceEstimator::estimate(const ServiceKey &key, Duration prior) const
{
    double value = static_cast<double>(std::max<std::int64_t>(1, prior.count()));
    const auto refine = [&value](const auto &means, const auto &meanKey) {
        const auto found = means.find(meanKey);
        if (found != means.end()) {
            value = blend(found->second, value);
        }
    };
    refine(m_stages, StageKey{key.pipeline.text(), key.stage.text()});
    refine(m_classes, ClassKey{key.pipeline.text(), key.stage.text(), key.kind.text(), anySize});
    refine(m_classes, ClassKey{key.pipeline.text(), key.stage.text(), key.kind.text(), sizeClass(key.size)});
    return Duration{std::max<std::int64_t>(1, std::llround(value))};
}

void ServiceEstimator::learn(const ServiceKey &key, Duration service)
{
    if (service <= Duration::zero()) {
        return;
    }
    const auto value = static_cast<double>(service.count());
    m_stages[StageKey{key.pipeline.text(), key.stage.text()}].add(value);
    if (m_classes.size() >= classLimit) {
        return;
    }
    m_classes[ClassKey{key.pipeline.text(), key.stage.text(), key.kind.text(), anySize}].add(value);
    m_classes[ClassKey{key.pipeline.text(), key.stage.text(), key.kind.text(), sizeClass(key.size)}].add(value);
}

std::size_t ServiceEstimator::classes() const noexcept
{
    return m_classes.size();
}

} // namespace bergamottide
