#include "bergamottide/platform/backoff.h"

#include <algorithm>

namespace bergamottide {

Backoff::Backoff(Duration initial, Duration maximum, std::uint64_t seed)
    : m_initial{initial}
    , m_maximum{maximum}
    , m_upperBound{initial}
    , m_random{seed}
{
}

Duration Backoff::next()
{
    std::uniform_int_distribution<Duration::rep> distribution{m_upperBound.count() / 2, m_upperBound.count()};
    const Duration wait{distribution(m_random)};
    m_upperBound = std::min(m_upperBound * 2, m_maximum);
    return wait;
}

void Backoff::reset()
{
    m_upperBound = m_initial;
}

} // namespace bergamottide
