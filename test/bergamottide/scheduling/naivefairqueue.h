#pragma once

#include "bergamottide/scheduling/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <vector>

namespace bergamottide::test {

/*! @brief The rules of `FairQueue` written down plainly, with a look at every run for every step. */
class NaiveFairQueue
{
public:
    NaiveFairQueue(std::size_t limit, std::size_t parallel)
        : m_limit{limit}
        , m_parallel{parallel}
    {
    }

    void setWeight(const WorkspaceName &workspace, double weight)
    {
        order(workspace);
        m_weights[workspace] = std::llround(weight * 1000.0);
    }

    QueueOutcome push(const QueueItem &item)
    {
        order(item.workspace);
        if (runsOf(item.workspace).empty()) {
            m_starts[item.workspace] = std::max(m_starts[item.workspace], m_virtualTime);
        }
        m_items.push_back(item);
        if (m_items.size() <= m_limit) {
            return {true, std::nullopt};
        }
        const QueueItem victim = take(least(furthestOver()));
        return victim.run == item.run ? QueueOutcome{} : QueueOutcome{true, victim};
    }

    std::optional<QueueItem> pop(TimePoint now)
    {
        if (m_items.empty()) {
            return std::nullopt;
        }
        const WorkspaceName next = smallestStart();
        m_virtualTime = std::max(m_virtualTime, m_starts[next]);
        const RunId chosen = saturated(next, now) ? best(next) : earliest(next);
        const QueueItem item = take(chosen);
        m_starts[next] += static_cast<double>(item.cost.count()) / static_cast<double>(weightOf(next));
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
        std::vector<QueueItem> doomed;
        for (const QueueItem &item : m_items) {
            if (item.deadline - item.cost - item.following < now) {
                doomed.push_back(item);
            }
        }
        std::stable_sort(doomed.begin(), doomed.end(), [](const QueueItem &left, const QueueItem &right) {
            return left.latestStart() < right.latestStart();
        });
        for (const QueueItem &item : doomed) {
            erase(item.run);
        }
        return doomed;
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

    /*! @brief Workspaces rank in the order in which they were first heard of, where all else is equal. */
    std::size_t order(const WorkspaceName &workspace)
    {
        return m_order.try_emplace(workspace, m_order.size()).first->second;
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

    [[nodiscard]] std::vector<WorkspaceName> active() const
    {
        std::vector<WorkspaceName> names;
        for (const QueueItem &item : m_items) {
            if (std::find(names.begin(), names.end(), item.workspace) == names.end()) {
                names.push_back(item.workspace);
            }
        }
        return names;
    }

    WorkspaceName smallestStart()
    {
        std::vector<WorkspaceName> names = active();
        return *std::min_element(names.begin(), names.end(), [this](const auto &left, const auto &right) {
            return std::pair{m_starts[left], order(left)} < std::pair{m_starts[right], order(right)};
        });
    }

    WorkspaceName furthestOver()
    {
        const auto over = [this](const WorkspaceName &name) {
            return static_cast<double>(costOf(runsOf(name)).count()) / static_cast<double>(weightOf(name));
        };
        std::vector<WorkspaceName> names = active();
        return *std::min_element(names.begin(), names.end(), [&](const auto &left, const auto &right) {
            return std::pair{-over(left), order(left)} < std::pair{-over(right), order(right)};
        });
    }

    static int worth(const QueueItem &item)
    {
        return static_cast<int>(std::floor(2.0 * std::log2(item.value / static_cast<double>(item.cost.count()))));
    }

    [[nodiscard]] RunId best(const WorkspaceName &workspace) const
    {
        const auto runs = runsOf(workspace);
        return std::min_element(
                   runs.begin(), runs.end(),
                   [](const auto &left, const auto &right) {
                       return std::tuple{-worth(left), left.due()} < std::tuple{-worth(right), right.due()};
                   })
            ->run;
    }

    [[nodiscard]] RunId least(const WorkspaceName &workspace) const
    {
        // The last one of the worst: among equals the newest leaves.
        auto runs = runsOf(workspace);
        std::reverse(runs.begin(), runs.end());
        return std::max_element(
                   runs.begin(), runs.end(),
                   [](const auto &left, const auto &right) {
                       return std::tuple{-worth(left), left.due()} < std::tuple{-worth(right), right.due()};
                   })
            ->run;
    }

    [[nodiscard]] RunId earliest(const WorkspaceName &workspace) const
    {
        const auto runs = runsOf(workspace);
        return std::min_element(runs.begin(), runs.end(),
                                [](const auto &left, const auto &right) {
                                    return std::tuple{left.due(), -left.value} < std::tuple{right.due(), -right.value};
                                })
            ->run;
    }

    bool saturated(const WorkspaceName &workspace, TimePoint now)
    {
        std::int64_t weights = 0;
        for (const WorkspaceName &name : active()) {
            weights += weightOf(name);
        }
        const auto runs = runsOf(workspace);
        const double atShare = static_cast<double>(costOf(runs).count()) * static_cast<double>(weights)
            / static_cast<double>(weightOf(workspace));
        const double wait =
            std::min(atShare, static_cast<double>(costOf(m_items).count())) / static_cast<double>(m_parallel);
        const auto last = std::max_element(runs.begin(), runs.end(), [](const auto &left, const auto &right) {
            return std::tuple{left.due(), -left.value} <= std::tuple{right.due(), -right.value};
        });
        return now + Duration{static_cast<Duration::rep>(wait)} > last->due();
    }

    QueueItem take(const RunId &run)
    {
        const auto found =
            std::find_if(m_items.begin(), m_items.end(), [&run](const QueueItem &item) { return item.run == run; });
        const QueueItem item = *found;
        m_items.erase(found);
        return item;
    }

    std::size_t m_limit;
    std::size_t m_parallel;
    double m_virtualTime{};
    std::vector<QueueItem> m_items;
    std::map<WorkspaceName, std::size_t> m_order;
    std::map<WorkspaceName, std::int64_t> m_weights;
    std::map<WorkspaceName, double> m_starts;
};

} // namespace bergamottide::test
