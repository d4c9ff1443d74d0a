#include "bergamottide/scheduling/servicetimes.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Minimum samples for an estimate; with fewer the entry's own estimate is better, since it covers many
 * endpoints. */
constexpr std::uint64_t minTrustedSamples = 8;
/*! @brief Bounds the memory; further classes are only counted in the estimates for all kinds. */
constexpr std::size_t maxClasses = 4096;

ServiceClass allKinds(ServiceClass serviceClass)
{
    serviceClass.kind = KindName{};
    return serviceClass;
}

} // namespace

void ServiceTimes::learn(const ServiceClass &serviceClass, double size, Duration service)
{
    const auto microseconds = static_cast<double>(service.count());
    m_overall.learn(0.0, microseconds);
    m_perUnit.learn(0.0, microseconds / std::max(size, 1.0));
    learnClass(allKinds(serviceClass), size, microseconds);
    if (!serviceClass.kind.empty()) {
        learnClass(serviceClass, size, microseconds);
    }
}

std::optional<Duration> ServiceTimes::estimate(const ServiceClass &serviceClass, double size) const
{
    for (const ServiceClass &candidate : {serviceClass, allKinds(serviceClass)}) {
        const auto found = m_regressions.find(candidate);
        if (found == m_regressions.end() || found->second.samples() < minTrustedSamples) {
            continue;
        }
        return Duration{static_cast<Duration::rep>(found->second.estimate(size))};
    }
    return std::nullopt;
}

Duration ServiceTimes::mean() const noexcept
{
    return Duration{static_cast<Duration::rep>(m_overall.estimate(0.0))};
}

double ServiceTimes::perUnit() const noexcept
{
    return m_perUnit.estimate(0.0);
}

void ServiceTimes::learnClass(const ServiceClass &serviceClass, double size, double microseconds)
{
    if (m_regressions.size() >= maxClasses && !m_regressions.contains(serviceClass)) {
        return;
    }
    m_regressions[serviceClass].learn(size, microseconds);
}

} // namespace bergamottide
