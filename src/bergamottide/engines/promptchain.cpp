#include "bergamottide/engines/promptchain.h"

#include <xxhash.h>

namespace bergamottide::engines {

PromptChain chainOf(std::string_view model, const std::vector<PromptPart> &prompt)
{
    PromptChain chain;
    chain.reserve(prompt.size());
    std::uint64_t digest = XXH3_64bits(model.data(), model.size());
    for (const PromptPart &part : prompt) {
        digest = XXH3_64bits_withSeed(part.id.data(), part.id.size(), digest);
        chain.push_back({digest, part.tokens});
    }
    return chain;
}

std::uint64_t tokensOf(const PromptChain &chain)
{
    std::uint64_t sum = 0;
    for (const ChainLink &link : chain) {
        sum += link.tokens;
    }
    return sum;
}

} // namespace bergamottide::engines
