#include "bergamottide/scheduling/concurrencylimit.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief What is left of the limit after a sign of overload: small steps, since signs come with every run. */
constexpr double decrease = 0.9;
/*! @brief Stretch that is never a sign of thrashing: ordinary variation doubles a time now and then. */
constexpr double ordinaryStretch = 2.0;
/*! @brief Share of the maximum that slowness alone leaves; a slow endpoint given less would only finish less. */
constexpr double slowFloor = 0.5;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t maximum)
    : m_maximum{static_cast<double>(std::max(maximum, 1U))}
    , m_limit{m_maximum}
{
}

void ConcurrencyLimit::setMaximum(std::uint32_t maximum)
{
    const bool atMaximum = m_limit >= m_maximum;
    m_maximum = static_cast<double>(std::max(maximum, 1U));
    m_limit = atMaximum ? m_maximum : std::min(m_limit, m_maximum);
}

std::uint32_t ConcurrencyLimit::current() const noexcept
{
    return static_cast<std::uint32_t>(m_limit);
}

void ConcurrencyLimit::completed(double stretch, std::uint32_t together)
{
    m_sinceShrink += 1.0;
    const double serial = std::max(static_cast<double>(together), ordinaryStretch);
    if (stretch > serial) {
        shrink(std::max(m_maximum * slowFloor, 1.0));
        return;
    }
    if (together >= current()) {
        m_limit = std::min(m_limit + 1.0 / m_limit, m_maximum);
    }
}

void ConcurrencyLimit::overloaded()
{
    m_sinceShrink += 1.0;
    shrink(1.0);
}

void ConcurrencyLimit::shrink(double floor)
{
    // One step for each round of runs: all of a round suffer from the same cause.
    if (m_limit <= floor || m_sinceShrink < m_limit) {
        return;
    }
    m_limit = std::max(m_limit * decrease, floor);
    m_sinceShrink = 0.0;
}

} // namespace bergamottide
