#include "bergamottide/engines/prefillbacklog.h"

#include <algorithm>

namespace bergamottide::engines {

namespace {

double prefilledSince(TimePoint since, double tokensPerSecond, TimePoint now)
{
    return std::chrono::duration<double>(now - since).count() * tokensPerSecond;
}

} // namespace

void PrefillBacklog::add(GenerationNumber generation, std::uint64_t tokens, TimePoint now)
{
    if (m_tokens.empty()) {
        m_frontSince = now;
    }
    m_tokens[generation] = tokens;
}

void PrefillBacklog::remove(GenerationNumber generation, TimePoint now)
{
    if (m_tokens.erase(generation) != 0) {
        m_frontSince = now;
    }
}

void PrefillBacklog::setPeerTokens(const InstanceName &peer, std::uint64_t tokens, TimePoint now)
{
    if (tokens == 0) {
        m_peers.erase(peer);
        return;
    }
    m_peers[peer] = {tokens, now};
}

double PrefillBacklog::ownTokens(double tokensPerSecond, TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[generation, tokens] : m_tokens) {
        sum += static_cast<double>(tokens);
    }
    if (m_tokens.empty()) {
        return 0.0;
    }
    // Prompts are prefilled one after the other, so that only the first one can have made progress.
    const auto front = static_cast<double>(m_tokens.begin()->second);
    return sum - std::min(front, prefilledSince(m_frontSince, tokensPerSecond, now));
}

double PrefillBacklog::totalTokens(double tokensPerSecond, TimePoint now) const
{
    double sum = ownTokens(tokensPerSecond, now);
    for (const auto &[peer, reported] : m_peers) {
        sum += std::max(static_cast<double>(reported.tokens) - prefilledSince(reported.at, tokensPerSecond, now), 0.0);
    }
    return sum;
}

std::size_t PrefillBacklog::size() const noexcept
{
    return m_tokens.size();
}

} // namespace bergamottide::engines
