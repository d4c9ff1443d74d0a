#include "bergamottide/pools/endpointlistage.h"

namespace bergamottide::serving {

void EndpointListAge::confirm(TimePoint asOf) noexcept
{
    if (m_confirmedAt && asOf <= *m_confirmedAt) {
        return;
    }
    if (!m_confirmedAt || asOf - *m_confirmedAt > maxGap) {
        m_knownSince = asOf;
    }
    m_confirmedAt = asOf;
}

bool EndpointListAge::isConfirmedSince(TimePoint time) const noexcept
{
    return m_confirmedAt && *m_confirmedAt >= time;
}

bool EndpointListAge::covers(TimePoint from, TimePoint until) const noexcept
{
    return isConfirmedSince(until) && m_knownSince <= from;
}

std::optional<Duration> EndpointListAge::age(TimePoint now) const noexcept
{
    return m_confirmedAt ? std::optional{now - *m_confirmedAt} : std::nullopt;
}

} // namespace bergamottide::serving
