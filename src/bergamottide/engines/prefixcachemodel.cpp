#include "bergamottide/engines/prefixcachemodel.h"

#include <algorithm>

namespace bergamottide::engines {

namespace {

/*! @brief Maximum number of links per engine, some 50 KB; an engine of 700,000 tokens caches a few hundred. */
constexpr std::size_t maxLinks = 1024;

} // namespace

void PrefixCacheModel::insert(const PromptChain &chain, std::uint64_t capacity, TimePoint readyAt)
{
    // Inserted in reverse order, so that a part is evicted before the parts that it depends on.
    const PromptChain reversed{chain.rbegin(), chain.rend()};
    for (const ChainLink &link : reversed) {
        const auto [entry, isNew] = m_entries.try_emplace(link.digest);
        TimePoint earliestReady = readyAt;
        if (isNew) {
            m_tokens += link.tokens;
        } else {
            earliestReady = std::min(earliestReady, entry->second->readyAt);
            m_lru.erase(entry->second);
        }
        m_lru.push_front({link, earliestReady});
        entry->second = m_lru.begin();
    }
    while (!m_lru.empty() && (m_lru.size() > maxLinks || (capacity != 0 && m_tokens > capacity))) {
        m_tokens -= m_lru.back().link.tokens;
        m_entries.erase(m_lru.back().link.digest);
        m_lru.pop_back();
    }
}

std::size_t PrefixCacheModel::cachedLinks(const PromptChain &chain) const
{
    const auto missing =
        std::ranges::find_if(chain, [this](const ChainLink &link) { return !m_entries.contains(link.digest); });
    return static_cast<std::size_t>(missing - chain.begin());
}

std::size_t PrefixCacheModel::readyLinks(const PromptChain &chain, TimePoint now) const
{
    const auto missing = std::ranges::find_if(chain, [this, now](const ChainLink &link) {
        const auto entry = m_entries.find(link.digest);
        return entry == m_entries.end() || entry->second->readyAt > now;
    });
    return static_cast<std::size_t>(missing - chain.begin());
}

std::uint64_t PrefixCacheModel::tokens() const noexcept
{
    return m_tokens;
}

} // namespace bergamottide::engines
