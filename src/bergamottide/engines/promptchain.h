#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::engines {

/*! @brief One part of a prompt that requests share, in the order in which it is read. */
struct PromptPart
{
    std::string id;
    std::uint64_t tokens{};
};

/*! @brief One part of a prompt together with all parts before it. */
struct ChainLink
{
    /*! @brief Digest of the model and of all parts up to this one: an engine reuses a part only behind the same ones.
     */
    std::uint64_t digest{};
    /*! @brief Tokens of this part. */
    std::uint64_t tokens{};
};

using PromptChain = std::vector<ChainLink>;

/**
 * @brief Returns the links of a prompt.
 * @param model Name of the model; what was read for one is of no use for another.
 * @param prompt Parts in the order in which they are read.
 */
[[nodiscard]] PromptChain chainOf(std::string_view model, const std::vector<PromptPart> &prompt);

/*! @brief Returns the tokens of all links. */
[[nodiscard]] std::uint64_t tokensOf(const PromptChain &chain);

} // namespace bergamottide::engines
