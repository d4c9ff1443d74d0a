#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::engines {

/*! @brief Part of a prompt that may be shared between requests, such as a system prompt or a document. */
struct PromptPart
{
    std::string id;
    std::uint64_t tokens{};
};

/*! @brief Prefix of a prompt that ends with a certain part. */
struct ChainLink
{
    /*! @brief Hash of the model and of all parts up to this one, since a part is only reused after the same prefix. */
    std::uint64_t digest{};
    /*! @brief Tokens of the last part. */
    std::uint64_t tokens{};
};

/*! @brief Prefixes of a prompt in increasing length. */
using PromptChain = std::vector<ChainLink>;

/**
 * @brief Computes the hash chain of a prompt.
 * @param model Name of the model; cached prefixes can't be shared between models.
 * @param prompt Parts of the prompt, in order.
 */
[[nodiscard]] PromptChain chainOf(std::string_view model, const std::vector<PromptPart> &prompt);

/*! @brief Returns the sum of the tokens of all links. */
[[nodiscard]] std::uint64_t tokensOf(const PromptChain &chain);

} // namespace bergamottide::engines
