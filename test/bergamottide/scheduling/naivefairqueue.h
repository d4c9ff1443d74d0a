#pragma once

#include "bergamottide/scheduling/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <vector>

namespace bergamottide::test {

/*! @brief Reference implementation of `FairQueue` that iterates over all runs for each operation. */
class NaiveFairQueue
{
public:
    NaiveFairQueue(std::size_t limit, std::size_t concurrency)
        : m_limit{limit}
        , m_concurrency{concurrency}
    {
    }

    void setWeight(const WorkspaceName &workspace, double weight)
    {
        rankOf(workspace);
        m_weights[workspace] = std::llround(weight * 1000.0);
    }

    PushResult push(const QueueItem &item)
    {
        rankOf(item.workspace);
        if (runsOf(item.workspace).empty()) {
            m_startTags[item.workspace] = std::max(m_startTags[item.workspace], m_virtualTime);
        }
        m_items.push_back(item);
        if (m_items.size() <= m_limit) {
            return {true, std::nullopt};
        }
        const QueueItem victim = removeRun(leastDense(largestBacklog()));
        return victim.run == item.run ? PushResult{} : PushResult{true, victim};
    }

    std::optional<QueueItem> pop(TimePoint now)
    {
        if (m_items.empty()) {
            return std::nullopt;
        }
        const WorkspaceName next = smallestStartTag();
        m_virtualTime = std::max(m_virtualTime, m_startTags[next]);
        const RunId chosen = missesDeadlines(next, now) ? mostDense(next) : earliestDeadline(next);
        const QueueItem item = removeRun(chosen);
        m_startTags[next] += static_cast<double>(item.cost.count()) / static_cast<double>(weightOf(next));
        return item;
    }

    bool erase(const RunId &run)
    {
        const std::size_t before = m_items.size();
        std::erase_if(m_items, [&run](const QueueItem &item) { return item.run == run; });
        return m_items.size() < before;
    }

    std::vector<QueueItem> takeDoomed(TimePoint now)
    {
        std::vector<QueueItem> infeasible;
        for (const QueueItem &item : m_items) {
            if (item.deadline - item.cost - item.laterStagesCost < now) {
                infeasible.push_back(item);
            }
        }
        std::stable_sort(infeasible.begin(), infeasible.end(), [](const QueueItem &left, const QueueItem &right) {
            return left.latestStart() < right.latestStart();
        });
        for (const QueueItem &item : infeasible) {
            erase(item.run);
        }
        return infeasible;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_items.size();
    }

private:
    [[nodiscard]] std::vector<QueueItem> runsOf(const WorkspaceName &workspace) const
    {
        std::vector<QueueItem> runs;
        for (const QueueItem &item : m_items) {
            if (item.workspace == workspace) {
                runs.push_back(item);
            }
        }
        return runs;
    }

    /*! @brief Returns the rank of a workspace, which breaks ties: the order of first use. */
    std::size_t rankOf(const WorkspaceName &workspace)
    {
        return m_ranks.try_emplace(workspace, m_ranks.size()).first->second;
    }

    std::int64_t weightOf(const WorkspaceName &workspace)
    {
        return m_weights.try_emplace(workspace, 1000).first->second;
    }

    static Duration costOf(const std::vector<QueueItem> &items)
    {
        Duration sum{};
        for (const QueueItem &item : items) {
            sum += item.cost;
        }
        return sum;
    }

    [[nodiscard]] std::vector<WorkspaceName> activeWorkspaces() const
    {
        std::vector<WorkspaceName> names;
        for (const QueueItem &item : m_items) {
            if (std::find(names.begin(), names.end(), item.workspace) == names.end()) {
                names.push_back(item.workspace);
            }
        }
        return names;
    }

    WorkspaceName smallestStartTag()
    {
        std::vector<WorkspaceName> names = activeWorkspaces();
        return *std::min_element(names.begin(), names.end(), [this](const auto &left, const auto &right) {
            return std::pair{m_startTags[left], rankOf(left)} < std::pair{m_startTags[right], rankOf(right)};
        });
    }

    WorkspaceName largestBacklog()
    {
        const auto normalizedBacklog = [this](const WorkspaceName &name) {
            return static_cast<double>(costOf(runsOf(name)).count()) / static_cast<double>(weightOf(name));
        };
        std::vector<WorkspaceName> names = activeWorkspaces();
        return *std::min_element(names.begin(), names.end(), [&](const auto &left, const auto &right) {
            return std::pair{-normalizedBacklog(left), rankOf(left)}
            < std::pair{-normalizedBacklog(right), rankOf(right)};
        });
    }

    static int densityLevel(const QueueItem &item)
    {
        return static_cast<int>(std::floor(2.0 * std::log2(item.value / static_cast<double>(item.cost.count()))));
    }

    [[nodiscard]] RunId mostDense(const WorkspaceName &workspace) const
    {
        const auto runs = runsOf(workspace);
        return std::min_element(runs.begin(), runs.end(),
                                [](const auto &left, const auto &right) {
                                    return std::tuple{-densityLevel(left), left.due()}
                                    < std::tuple{-densityLevel(right), right.due()};
                                })
            ->run;
    }

    [[nodiscard]] RunId leastDense(const WorkspaceName &workspace) const
    {
        // Reversed, so that the newest of equal runs is evicted.
        auto runs = runsOf(workspace);
        std::reverse(runs.begin(), runs.end());
        return std::max_element(runs.begin(), runs.end(),
                                [](const auto &left, const auto &right) {
                                    return std::tuple{-densityLevel(left), left.due()}
                                    < std::tuple{-densityLevel(right), right.due()};
                                })
            ->run;
    }

    [[nodiscard]] RunId earliestDeadline(const WorkspaceName &workspace) const
    {
        const auto runs = runsOf(workspace);
        return std::min_element(runs.begin(), runs.end(),
                                [](const auto &left, const auto &right) {
                                    return std::tuple{left.due(), -left.value} < std::tuple{right.due(), -right.value};
                                })
            ->run;
    }

    bool missesDeadlines(const WorkspaceName &workspace, TimePoint now)
    {
        std::int64_t weights = 0;
        for (const WorkspaceName &name : activeWorkspaces()) {
            weights += weightOf(name);
        }
        const auto runs = runsOf(workspace);
        const double atFairShare = static_cast<double>(costOf(runs).count()) * static_cast<double>(weights)
            / static_cast<double>(weightOf(workspace));
        const double wait =
            std::min(atFairShare, static_cast<double>(costOf(m_items).count())) / static_cast<double>(m_concurrency);
        const auto last = std::max_element(runs.begin(), runs.end(), [](const auto &left, const auto &right) {
            return std::tuple{left.due(), -left.value} <= std::tuple{right.due(), -right.value};
        });
        return now + Duration{static_cast<Duration::rep>(wait)} > last->due();
    }

    QueueItem removeRun(const RunId &run)
    {
        const auto found =
            std::find_if(m_items.begin(), m_items.end(), [&run](const QueueItem &item) { return item.run == run; });
        const QueueItem item = *found;
        m_items.erase(found);
        return item;
    }

    std::size_t m_limit;
    std::size_t m_concurrency;
    double m_virtualTime{};
    std::vector<QueueItem> m_items;
    std::map<WorkspaceName, std::size_t> m_ranks;
    std::map<WorkspaceName, std::int64_t> m_weights;
    std::map<WorkspaceName, double> m_startTags;
};

} // namespace bergamottide::test
