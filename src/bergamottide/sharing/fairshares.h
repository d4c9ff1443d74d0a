#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/sharing/sharechange.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bergamottide::sharing {

/**
 * @brief Max-min fair shares of the pieces of one scarce stage pool, by workspace.
 *
 * Counts the pieces that each workspace requested and that were sent for it, with exponential decay. While the pool is
 * scarce, a workspace that received more than its share is above it as long as others that received less are waiting.
 * A workspace that demands no more than an equal part of the pool is never above its share.
 */
class FairShares
{
public:
    /*! @brief Maximum number of workspaces that are published for a pool. */
    static constexpr std::size_t maxPublished = 8;

    /*! @brief Number of pieces by workspace. */
    using PieceCounts = std::map<WorkspaceName, double>;

    /**
     * @brief Divides a capacity by max-min fairness: no workspace can get more without taking from one with less.
     * @param demands Demand of each workspace, not negative.
     * @param capacity Capacity to divide.
     * @return Share of each workspace, at most its demand.
     */
    [[nodiscard]] static PieceCounts maxMinShares(const PieceCounts &demands, double capacity);

    /*! @brief Counts the pieces of a task that was queued. */
    void recordRequested(const WorkspaceName &workspace, std::uint32_t pieces, TimePoint now);

    /*! @brief Counts pieces that were sent to an endpoint. */
    void recordSent(const WorkspaceName &workspace, std::uint32_t pieces, TimePoint now);

    /**
     * @brief Determines which workspaces are above their share.
     * @param waiting Pieces that wait in the queue.
     * @param isScarce Whether the pool is scarce.
     * @param now Current time.
     * @return Workspaces for which the answer has changed.
     */
    [[nodiscard]] std::vector<ShareChange> update(const PieceCounts &waiting, bool isScarce, TimePoint now);

    /*! @brief Tells whether a workspace was above its share at the last update. */
    [[nodiscard]] bool isAbove(const WorkspaceName &workspace) const;

    /*! @brief Returns the number of workspaces above their share. */
    [[nodiscard]] std::size_t aboveCount() const noexcept;

    /**
     * @brief Returns the workspaces above their share that are published to other processes, most pieces first.
     *
     * Their number and the length of their names are bounded, since they are part of each heartbeat.
     */
    [[nodiscard]] std::vector<WorkspaceName> published() const;

    /*! @brief Returns the fraction of the requested pieces that belong to workspaces within their share. */
    [[nodiscard]] double requestedFractionWithin() const;

private:
    struct Counts
    {
        double requested{};
        double sent{};
    };

    [[nodiscard]] Counts &countsAt(const WorkspaceName &workspace, TimePoint now);
    void decay(TimePoint now);
    [[nodiscard]] std::vector<WorkspaceName> findAbove(const PieceCounts &waiting) const;

    std::map<WorkspaceName, Counts> m_counts;
    TimePoint m_decayedAt{};
    /*! @brief When the first and the last piece were counted. */
    TimePoint m_countsSince{};
    TimePoint m_countedAt{};
    /*! @brief Workspaces above their share, and when this was last found. */
    std::map<WorkspaceName, TimePoint> m_above;
};

} // namespace bergamottide::sharing
