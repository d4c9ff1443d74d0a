#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/engines/promptchain.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>

namespace bergamottide::engines {

/**
 * @brief Parts of prompts that one engine is believed to keep, from the prompts that were sent to it.
 *
 * The engine drops the parts that were used longest ago when its memory is full, and so does this.
 */
class KeptParts
{
public:
    /**
     * @brief Notes a prompt that the engine reads, or has read.
     * @param chain Its links.
     * @param capacity Tokens that the engine has memory for; zero if not known.
     * @param readAt When the engine has read it, as far as is known; links that were read before stay so.
     */
    void note(const PromptChain &chain, std::uint64_t capacity, TimePoint readAt);

    /*! @brief Returns how many of the links, from the first, the engine keeps or will have read when it comes to them.
     */
    [[nodiscard]] std::size_t keptLinks(const PromptChain &chain) const;

    /*! @brief Returns how many of the links, from the first, the engine has read already. */
    [[nodiscard]] std::size_t readLinks(const PromptChain &chain, TimePoint now) const;

    /*! @brief Returns the tokens that are believed to be kept. */
    [[nodiscard]] std::uint64_t tokens() const noexcept;

private:
    struct Kept
    {
        ChainLink link;
        TimePoint readAt{};
    };

    /*! @brief Links, the one used last first. */
    std::list<Kept> m_byUse;
    absl::flat_hash_map<std::uint64_t, std::list<Kept>::iterator> m_places;
    std::uint64_t m_tokens{};
};

} // namespace bergamottide::engines
