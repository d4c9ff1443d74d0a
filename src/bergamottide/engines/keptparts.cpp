#include "bergamottide/engines/keptparts.h"

#include <algorithm>

namespace bergamottide::engines {

namespace {

/*! @brief Links remembered of one engine at most, some 50 KB: an engine of 700,000 tokens keeps a few hundred. */
constexpr std::size_t mostLinks = 1024;

} // namespace

void KeptParts::note(const PromptChain &chain, std::uint64_t capacity, TimePoint readAt)
{
    // From the last to the first: a part is of no use without those before it, so these are dropped after it.
    const PromptChain fromTheLast{chain.rbegin(), chain.rend()};
    for (const ChainLink &link : fromTheLast) {
        const auto [place, isNew] = m_places.try_emplace(link.digest);
        TimePoint earliest = readAt;
        if (isNew) {
            m_tokens += link.tokens;
        } else {
            earliest = std::min(earliest, place->second->readAt);
            m_byUse.erase(place->second);
        }
        m_byUse.push_front({link, earliest});
        place->second = m_byUse.begin();
    }
    while (!m_byUse.empty() && (m_byUse.size() > mostLinks || (capacity != 0 && m_tokens > capacity))) {
        m_tokens -= m_byUse.back().link.tokens;
        m_places.erase(m_byUse.back().link.digest);
        m_byUse.pop_back();
    }
}

std::size_t KeptParts::keptLinks(const PromptChain &chain) const
{
    const auto missing =
        std::ranges::find_if(chain, [this](const ChainLink &link) { return !m_places.contains(link.digest); });
    return static_cast<std::size_t>(missing - chain.begin());
}

std::size_t KeptParts::readLinks(const PromptChain &chain, TimePoint now) const
{
    const auto missing = std::ranges::find_if(chain, [this, now](const ChainLink &link) {
        const auto place = m_places.find(link.digest);
        return place == m_places.end() || place->second->readAt > now;
    });
    return static_cast<std::size_t>(missing - chain.begin());
}

std::uint64_t KeptParts::tokens() const noexcept
{
    return m_tokens;
}

} // namespace bergamottide::engines
