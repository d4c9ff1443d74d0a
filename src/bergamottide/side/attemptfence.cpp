#include "bergamottide/side/attemptfence.h"

#include <algorithm>

namespace bergamottide {

AttemptFence::AttemptFence(std::size_t limit)
    : m_limit{std::max<std::size_t>(limit, 1)}
{
}

bool AttemptFence::pass(const RunId &run, TimePoint until)
{
    const StageKey key{run.request, run.stage};
    const auto [found, added] = m_marks.try_emplace(key);
    Mark &mark = found->second;
    if (!added && run.attempt <= mark.highest) {
        return false;
    }
    m_expiries.erase({mark.until, key});
    mark.highest = run.attempt;
    mark.until = std::max(mark.until, until);
    m_expiries.emplace(mark.until, key);
    if (m_marks.size() > m_limit) {
        forgetEarliest();
    }
    return true;
}

void AttemptFence::expire(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        forgetEarliest();
    }
}

std::size_t AttemptFence::size() const noexcept
{
    return m_marks.size();
}

void AttemptFence::forgetEarliest()
{
    m_marks.erase(m_expiries.begin()->second);
    m_expiries.erase(m_expiries.begin());
}

} // namespace bergamottide
