#pragma once

#include "bergamottide/core/fwd.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <string>
#include <utility>

namespace bergamottide {

/**
 * @brief Budget of extra attempts as a share of first attempts, by workspace and stage.
 *
 * Load: a fault or an overload in which most runs fail. Harm prevented: attempts that
 * multiply the load just when there is least room for it, and keep an overload alive
 * after its cause is gone (a retry storm). Each first attempt earns a share of a token,
 * each extra attempt costs one; so the extra load stays below that share whatever fails.
 * A workspace that fails for its own reasons uses up nobody else's budget.
 */
class ShareBudget
{
public:
    /*! @brief Tokens a workspace starts with: a rare failure must not be final just because traffic is low. */
    static constexpr double initial = 10.0;
    /*! @brief Tokens kept at most: enough to move the runs of one dead endpoint, too few for a storm. */
    static constexpr double limit = 100.0;

    /**
     * @brief Earns for a first attempt.
     * @param share Extra attempts allowed per first attempt, from 0 to 1.
     */
    void earn(const WorkspaceName &workspace, const StageName &stage, double share)
    {
        double &tokens = tokensOf(workspace, stage);
        tokens = std::min(limit, tokens + share);
    }

    /*! @brief Takes a token for an extra attempt; returns whether there was one. */
    [[nodiscard]] bool spend(const WorkspaceName &workspace, const StageName &stage)
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
        return m_tokens.try_emplace(std::pair{workspace.text(), stage.text()}, initial).first->second;
    }

    absl::flat_hash_map<std::pair<std::string, std::string>, double> m_tokens;
};

} // namespace bergamottide
