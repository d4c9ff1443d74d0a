#pragma once

#include "bergamottide/core/fwd.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <string>
#include <utility>

namespace bergamottide {

/**
 * @brief Retry budget: limits retries or hedges to a share of the first attempts, by workspace and stage.
 *
 * Each first attempt deposits a fraction of a token, each extra attempt withdraws one.
 * This prevents retry storms, in which extra attempts multiply the load of an overloaded
 * pool. Budgets are separate, so that the failures of one workspace don't use up the
 * budget of another.
 */
class AttemptBudget
{
public:
    /*! @brief Initial tokens; allow extra attempts when there is little traffic. */
    static constexpr double initialTokens = 10.0;
    /*! @brief Maximum number of tokens; enough to retry the runs of one failed endpoint. */
    static constexpr double maxTokens = 100.0;

    /**
     * @brief Deposits a fraction of a token for a first attempt.
     * @param share Extra attempts allowed per first attempt, from 0 to 1.
     */
    void deposit(const WorkspaceName &workspace, const StageName &stage, double share)
    {
        double &tokens = tokensOf(workspace, stage);
        tokens = std::min(maxTokens, tokens + share);
    }

    /*! @brief Withdraws a token for an extra attempt; returns whether there was one. */
    [[nodiscard]] bool tryWithdraw(const WorkspaceName &workspace, const StageName &stage)
    {
        double &tokens = tokensOf(workspace, stage);
        if (tokens < 1.0) {
            return false;
        }
        tokens -= 1.0;
        return true;
    }

private:
    [[nodiscard]] double &tokensOf(const WorkspaceName &workspace, const StageName &stage)
    {
        return m_tokens.try_emplace(std::pair{workspace.text(), stage.text()}, initialTokens).first->second;
    }

    absl::flat_hash_map<std::pair<std::string, std::string>, double> m_tokens;
};

} // namespace bergamottide
