#include "bergamottide/placement/servicetimeestimator.h"

#include <algorithm>
#include <cmath>

namespace bergamottide {

namespace {

/*! @brief Window of the moving average, in samples. */
constexpr std::uint32_t windowSamples = 20;
/*! @brief Upper bound of the sample count; the prior has a negligible weight by then. */
constexpr std::uint32_t maxSamples = 1000;
/*! @brief Samples are clamped to a factor of two around the mean; natural logarithm of it. */
constexpr double maxLogStep = 0.6931;
/*! @brief Weight of the prior estimate, in samples. */
constexpr double priorWeight = 2.0;
/*! @brief Size class of all sizes of a stage and kind. */
constexpr int allSizes = -1;
/*! @brief Bounds the memory, since kinds and sizes come from callers. */
constexpr std::size_t maxClasses = 65536;

int sizeClass(double size)
{
    return size < 1.0 ? 0 : 1 + std::ilogb(size);
}

double blendWithPrior(const RobustMean &mean, double prior)
{
    const double samples = mean.samples();
    const double logarithm =
        (samples * std::log(mean.value()) + priorWeight * std::log(prior)) / (samples + priorWeight);
    return std::exp(logarithm);
}

} // namespace

void RobustMean::add(double value)
{
    const double logarithm = std::log(value);
    if (m_samples == 0) {
        m_logMean = logarithm;
        m_samples = 1;
        return;
    }
    m_samples = std::min(m_samples + 1, maxSamples);
    m_logMean += std::clamp(logarithm - m_logMean, -maxLogStep, maxLogStep) / std::min(m_samples, windowSamples);
}

double RobustMean::value() const
{
    return std::exp(m_logMean);
}

std::uint32_t RobustMean::samples() const noexcept
{
    return m_samples;
}

Duration ServiceTimeEstimator::estimate(const ServiceTimeKey &key, Duration prior) const
{
    double value = static_cast<double>(std::max<std::int64_t>(1, prior.count()));
    const auto refine = [&value](const auto &means, const auto &meanKey) {
        const auto found = means.find(meanKey);
        if (found != means.end()) {
            value = blendWithPrior(found->second, value);
        }
    };
    refine(m_stages, StageKey{key.pipeline.text(), key.stage.text()});
    refine(m_classes, ClassKey{key.pipeline.text(), key.stage.text(), key.kind.text(), allSizes});
    refine(m_classes, ClassKey{key.pipeline.text(), key.stage.text(), key.kind.text(), sizeClass(key.size)});
    return Duration{std::max<std::int64_t>(1, std::llround(value))};
}

void ServiceTimeEstimator::learn(const ServiceTimeKey &key, Duration service)
{
    if (service <= Duration::zero()) {
        return;
    }
    const auto value = static_cast<double>(service.count());
    m_stages[StageKey{key.pipeline.text(), key.stage.text()}].add(value);
    if (m_classes.size() >= maxClasses) {
        return;
    }
    m_classes[ClassKey{key.pipeline.text(), key.stage.text(), key.kind.text(), allSizes}].add(value);
    m_classes[ClassKey{key.pipeline.text(), key.stage.text(), key.kind.text(), sizeClass(key.size)}].add(value);
}

std::size_t ServiceTimeEstimator::classCount() const noexcept
{
    return m_classes.size();
}

} // namespace bergamottide
