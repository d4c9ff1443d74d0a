#include "bergamottide/engines/prefillbacklog.h"

#include <algorithm>

namespace bergamottide::engines {

namespace {

double readSince(TimePoint since, double tokensPerSecond, TimePoint now)
{
    return std::chrono::duration<double>(now - since).count() * tokensPerSecond;
}

} // namespace

void PrefillBacklog::sent(GenerationNumber generation, std::uint64_t tokens, TimePoint now)
{
    if (m_own.empty()) {
        m_frontSince = now;
    }
    m_own[generation] = tokens;
}

void PrefillBacklog::read(GenerationNumber generation, TimePoint now)
{
    if (m_own.erase(generation) != 0) {
        m_frontSince = now;
    }
}

void PrefillBacklog::told(const InstanceName &peer, std::uint64_t tokens, TimePoint now)
{
    if (tokens == 0) {
        m_told.erase(peer);
        return;
    }
    m_told[peer] = {tokens, now};
}

double PrefillBacklog::own(double tokensPerSecond, TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[generation, tokens] : m_own) {
        sum += static_cast<double>(tokens);
    }
    if (m_own.empty()) {
        return 0.0;
    }
    // Only the prompt in front is taken to be read: the others' first events have not come because of it.
    const auto front = static_cast<double>(m_own.begin()->second);
    return sum - std::min(front, readSince(m_frontSince, tokensPerSecond, now));
}

double PrefillBacklog::all(double tokensPerSecond, TimePoint now) const
{
    double sum = own(tokensPerSecond, now);
    for (const auto &[peer, told] : m_told) {
        sum += std::max(static_cast<double>(told.tokens) - readSince(told.at, tokensPerSecond, now), 0.0);
    }
    return sum;
}

std::size_t PrefillBacklog::waiting() const noexcept
{
    return m_own.size();
}

} // namespace bergamottide::engines
