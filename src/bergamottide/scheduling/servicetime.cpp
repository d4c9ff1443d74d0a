#include "bergamottide/scheduling/servicetime.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Samples below which a class is not trusted: the entry's own estimate, learned from many sides, is better. */
constexpr std::uint64_t trusted = 8;
/*! @brief Classes kept at most: pipelines times stages times kinds of a document fit; more are not told apart. */
constexpr std::size_t maxClasses = 4096;

ServiceClass allKinds(ServiceClass work)
{
    work.kind = KindName{};
    return work;
}

} // namespace

void ServiceTimes::learn(const ServiceClass &work, double size, Duration service)
{
    const auto micros = static_cast<double>(service.count());
    m_all.learn(0.0, micros);
    m_perUnit.learn(0.0, micros / std::max(size, 1.0));
    learnClass(allKinds(work), size, micros);
    if (!work.kind.empty()) {
        learnClass(work, size, micros);
    }
}

std::optional<Duration> ServiceTimes::estimate(const ServiceClass &work, double size) const
{
    for (const ServiceClass &candidate : {work, allKinds(work)}) {
        const auto found = m_lines.find(candidate);
        if (found == m_lines.end() || found->second.samples() < trusted) {
            continue;
        }
        return Duration{static_cast<Duration::rep>(found->second.estimate(size))};
    }
    return std::nullopt;
}

Duration ServiceTimes::mean() const noexcept
{
    return Duration{static_cast<Duration::rep>(m_all.estimate(0.0))};
}

double ServiceTimes::perUnit() const noexcept
{
    return m_perUnit.estimate(0.0);
}

void ServiceTimes::learnClass(const ServiceClass &work, double size, double micros)
{
    if (m_lines.size() >= maxClasses && !m_lines.contains(work)) {
        return;
    }
    m_lines[work].learn(size, micros);
}

} // namespace bergamottide
