#include "bergamottide/sidecar/runtable.h"

#include <algorithm>

namespace bergamottide {

bool RunRecord::isAcknowledged() const
{
    return std::all_of(subscribers.begin(), subscribers.end(),
                       [](const RunSubscriber &subscriber) { return subscriber.acknowledged; });
}

RunRecord *RunTable::find(const RunId &run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &found->second;
}

RunRecord &RunTable::insert(RunRecord run)
{
    const RunId id = run.spec.run;
    RunRecord &added = m_runs.emplace(id, std::move(run)).first->second;
    m_due.emplace(added.due, id);
    return added;
}

void RunTable::erase(const RunId &run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    m_due.erase({found->second.due, run});
    m_runs.erase(found);
}

void RunTable::schedule(RunRecord &run, TimePoint due)
{
    m_due.erase({run.due, run.spec.run});
    run.due = due;
    m_due.emplace(due, run.spec.run);
}

std::vector<RunId> RunTable::dueRuns(TimePoint now) const
{
    std::vector<RunId> runs;
    for (const auto &[time, run] : m_due) {
        if (time > now) {
            break;
        }
        runs.push_back(run);
    }
    return runs;
}

std::optional<TimePoint> RunTable::nextDue() const
{
    if (m_due.empty()) {
        return std::nullopt;
    }
    return m_due.begin()->first;
}

std::vector<RunId> RunTable::lowerAttemptsInProgress(const RunId &run) const
{
    std::vector<RunId> lower;
    const auto begin = m_runs.lower_bound(RunId{run.request, run.stage, 0});
    const auto end = m_runs.lower_bound(run);
    for (auto entry = begin; entry != end; ++entry) {
        if (!entry->second.isInProgress()) {
            continue;
        }
        lower.push_back(entry->first);
    }
    return lower;
}

void RunTable::forEach(const std::function<void(RunRecord &)> &visit)
{
    for (auto &[id, run] : m_runs) {
        visit(run);
    }
}

std::size_t RunTable::size() const noexcept
{
    return m_runs.size();
}

} // namespace bergamottide
