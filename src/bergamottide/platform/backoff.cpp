#include "bergamottide/platform/backoff.h"

#include <algorithm>

namespace bergamottide {

Backoff::Backoff(Duration first, Duration longest, std::uint64_t seed)
    : m_first{first}
    , m_longest{longest}
    , m_bound{first}
    , m_random{seed}
{
}

Duration Backoff::next()
{
    std::uniform_int_distribution<Duration::rep> jitter{m_bound.count() / 2, m_bound.count()};
    const Duration wait{jitter(m_random)};
    m_bound = std::min(m_bound * 2, m_longest);
    return wait;
}

void Backoff::reset()
{
    m_bound = m_first;
}

} // namespace bergamottide
