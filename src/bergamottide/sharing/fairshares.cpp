#include "bergamottide/sharing/fairshares.h"

#include <algorithm>
#include <cmath>

namespace bergamottide::sharing {

namespace {

/*! @brief Time constant of the counts in seconds: as long as callers wait for an answer, so that a workspace that has
 * just received much is above its share while those that waited meanwhile can still be on time. */
constexpr double decaySeconds = 3.0;
/*! @brief Work that a new queue owner observes before it tells workspaces apart; the order in which the first tasks
 * arrive says nothing about their demand. */
constexpr Duration observationTime = std::chrono::seconds{1};
/*! @brief Time for which a workspace stays above its share after that was last found. Longer than two heartbeats, so
 * that other processes learn of it even if one is lost, and that a queue that is empty between two calls changes
 * nothing. */
constexpr Duration holdTime = std::chrono::milliseconds{500};
/*! @brief Excess over a share that does not count: one call more or less shifts the counts of equal workspaces. */
constexpr double tolerance = 0.1;
/*! @brief Counts below this number of pieces are removed. */
constexpr double minPieces = 0.01;
/*! @brief Maximum length of the published names with quotes and commas, in bytes; with the names of the fields it stays
 * below the 100 bytes of a heartbeat that sharing may add for each pool. */
constexpr std::size_t maxPublishedBytes = 60;
/*! @brief Bytes of the quotes and the comma around a published name. */
constexpr std::size_t nameOverhead = 3;

} // namespace

FairShares::PieceCounts FairShares::maxMinShares(const PieceCounts &demands, double capacity)
{
    std::vector<std::pair<double, WorkspaceName>> ascending;
    ascending.reserve(demands.size());
    for (const auto &[workspace, demand] : demands) {
        ascending.emplace_back(demand, workspace);
    }
    std::ranges::sort(ascending);
    PieceCounts shares;
    double left = capacity;
    std::size_t remaining = ascending.size();
    for (const auto &[demand, workspace] : ascending) {
        const double share = std::min(demand, left / static_cast<double>(remaining));
        shares[workspace] = share;
        left -= share;
        --remaining;
    }
    return shares;
}

void FairShares::recordRequested(const WorkspaceName &workspace, std::uint32_t pieces, TimePoint now)
{
    countsAt(workspace, now).requested += pieces;
}

void FairShares::recordSent(const WorkspaceName &workspace, std::uint32_t pieces, TimePoint now)
{
    countsAt(workspace, now).sent += pieces;
}

/*! @brief Returns the counts of a workspace. Those from before a second of silence are removed: the pool was idle, or
 * another process owned its queue. */
FairShares::Counts &FairShares::countsAt(const WorkspaceName &workspace, TimePoint now)
{
    if (!m_counts.empty() && now - m_countedAt >= observationTime) {
        m_counts.clear();
    }
    if (m_counts.empty()) {
        m_countsSince = now;
    }
    m_countedAt = now;
    decay(now);
    return m_counts[workspace];
}

void FairShares::decay(TimePoint now)
{
    if (now <= m_decayedAt) {
        return;
    }
    const double factor = std::exp(-std::chrono::duration<double>(now - m_decayedAt).count() / decaySeconds);
    m_decayedAt = now;
    for (auto &[workspace, counts] : m_counts) {
        counts.requested *= factor;
        counts.sent *= factor;
    }
    std::erase_if(m_counts,
                  [](const auto &item) { return item.second.requested < minPieces && item.second.sent < minPieces; });
}

std::vector<ShareChange> FairShares::update(const PieceCounts &waiting, bool isScarce, TimePoint now)
{
    decay(now);
    std::vector<ShareChange> changes;
    if (isScarce && now - m_countsSince >= observationTime) {
        for (const WorkspaceName &workspace : findAbove(waiting)) {
            const auto [mark, isNew] = m_above.insert_or_assign(workspace, now);
            if (isNew) {
                changes.push_back({workspace, true});
            }
        }
    }
    std::erase_if(m_above, [&changes, now](const auto &item) {
        const bool isOver = now - item.second >= holdTime;
        if (isOver) {
            changes.push_back({item.first, false});
        }
        return isOver;
    });
    return changes;
}

/*
 * The demand of a workspace is at least what it received and what it waits for: the requested pieces alone decay while
 * they wait, so that a workspace whose whole demand is met would appear to have received more than that.
 */
std::vector<WorkspaceName> FairShares::findAbove(const PieceCounts &waiting) const
{
    PieceCounts demands;
    double capacity = 0.0;
    for (const auto &[workspace, counts] : m_counts) {
        const auto found = waiting.find(workspace);
        const double stillWaiting = found == waiting.end() ? 0.0 : found->second;
        demands[workspace] = std::max(counts.requested, counts.sent + stillWaiting);
        capacity += counts.sent;
    }
    const PieceCounts shares = maxMinShares(demands, capacity);
    const auto isShortOfShare = [this, &shares](const auto &item) {
        const auto counts = m_counts.find(item.first);
        return item.second > 0.0 && counts != m_counts.end() && counts->second.sent < shares.at(item.first);
    };
    std::vector<WorkspaceName> above;
    if (!std::ranges::any_of(waiting, isShortOfShare)) {
        return above;
    }
    for (const auto &[workspace, counts] : m_counts) {
        if (counts.sent > shares.at(workspace) * (1.0 + tolerance)) {
            above.push_back(workspace);
        }
    }
    return above;
}

bool FairShares::isAbove(const WorkspaceName &workspace) const
{
    return m_above.contains(workspace);
}

std::size_t FairShares::aboveCount() const noexcept
{
    return m_above.size();
}

std::vector<WorkspaceName> FairShares::published() const
{
    std::vector<std::pair<double, WorkspaceName>> descending;
    for (const auto &[workspace, foundAt] : m_above) {
        const auto counts = m_counts.find(workspace);
        descending.emplace_back(counts == m_counts.end() ? 0.0 : -counts->second.sent, workspace);
    }
    std::ranges::sort(descending);
    std::vector<WorkspaceName> out;
    std::size_t bytes = 0;
    for (const auto &[negatedPieces, workspace] : descending) {
        bytes += workspace.text().size() + nameOverhead;
        if (out.size() == maxPublished || bytes > maxPublishedBytes) {
            break;
        }
        out.push_back(workspace);
    }
    return out;
}

double FairShares::requestedFractionWithin() const
{
    double within = 0.0;
    double sum = 0.0;
    for (const auto &[workspace, counts] : m_counts) {
        within += isAbove(workspace) ? 0.0 : counts.requested;
        sum += counts.requested;
    }
    return sum > 0.0 ? within / sum : 1.0;
}

} // namespace bergamottide::sharing
