#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/engines/promptchain.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>

namespace bergamottide::engines {

/**
 * @brief Model of the prefix cache of an engine, based on the prompts that were sent to it.
 *
 * Evicts the least recently used parts when the capacity is exceeded, as engines do.
 */
class PrefixCacheModel
{
public:
    /**
     * @brief Inserts a prompt that was sent to the engine.
     * @param chain Links of the prompt.
     * @param capacity Capacity of the cache in tokens; zero if unknown.
     * @param readyAt Expected end of the prefill; doesn't delay links that are ready earlier.
     */
    void insert(const PromptChain &chain, std::uint64_t capacity, TimePoint readyAt);

    /*! @brief Returns the number of leading links that are cached, or will be when the engine prefills the prompt. */
    [[nodiscard]] std::size_t cachedLinks(const PromptChain &chain) const;

    /*! @brief Returns the number of leading links whose prefill is complete. */
    [[nodiscard]] std::size_t readyLinks(const PromptChain &chain, TimePoint now) const;

    /*! @brief Returns the number of cached tokens. */
    [[nodiscard]] std::uint64_t tokens() const noexcept;

private:
    struct Entry
    {
        ChainLink link;
        TimePoint readyAt{};
    };

    /*! @brief Links, most recently used first. */
    std::list<Entry> m_lru;
    absl::flat_hash_map<std::uint64_t, std::list<Entry>::iterator> m_entries;
    std::uint64_t m_tokens{};
};

} // namespace bergamottide::engines
