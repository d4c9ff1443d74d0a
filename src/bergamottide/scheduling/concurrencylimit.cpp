#include "bergamottide/scheduling/concurrencylimit.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Multiplicative decrease; close to one because overload signals arrive with every run. */
constexpr double decreaseFactor = 0.9;
/*! @brief Slowdown that is still within the normal variation of service times. */
constexpr double maxNormalSlowdown = 2.0;
/*! @brief Share of the maximum below which slow runs alone don't lower the limit. */
constexpr double slownessFloorShare = 0.5;

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

void ConcurrencyLimit::recordCompletion(double slowdown, std::uint32_t concurrent)
{
    m_runsSinceDecrease += 1.0;
    const double serialSlowdown = std::max(static_cast<double>(concurrent), maxNormalSlowdown);
    if (slowdown > serialSlowdown) {
        decrease(std::max(m_maximum * slownessFloorShare, 1.0));
        return;
    }
    if (concurrent >= current()) {
        m_limit = std::min(m_limit + 1.0 / m_limit, m_maximum);
    }
}

void ConcurrencyLimit::recordOverload()
{
    m_runsSinceDecrease += 1.0;
    decrease(1.0);
}

void ConcurrencyLimit::decrease(double floor)
{
    // At most one decrease per `m_limit` runs: runs that overlap report the same overload.
    if (m_limit <= floor || m_runsSinceDecrease < m_limit) {
        return;
    }
    m_limit = std::max(m_limit * decreaseFactor, floor);
    m_runsSinceDecrease = 0.0;
}

} // namespace bergamottide
