#include "bergamottide/sidecar/attemptfence.h"

#include <algorithm>

namespace bergamottide {

AttemptFence::AttemptFence(std::size_t limit)
    : m_limit{std::max<std::size_t>(limit, 1)}
{
}

bool AttemptFence::admit(const RunId &run, TimePoint expiry)
{
    const StageKey key{run.request, run.stage};
    const auto [found, added] = m_records.try_emplace(key);
    Record &record = found->second;
    if (!added && run.attempt <= record.highestAttempt) {
        return false;
    }
    m_expiries.erase({record.expiry, key});
    record.highestAttempt = run.attempt;
    record.expiry = std::max(record.expiry, expiry);
    m_expiries.emplace(record.expiry, key);
    if (m_records.size() > m_limit) {
        evictEarliest();
    }
    return true;
}

void AttemptFence::expire(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        evictEarliest();
    }
}

std::size_t AttemptFence::size() const noexcept
{
    return m_records.size();
}

void AttemptFence::evictEarliest()
{
    m_records.erase(m_expiries.begin()->second);
    m_expiries.erase(m_expiries.begin());
}

} // namespace bergamottide
