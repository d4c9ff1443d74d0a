#include "bergamottide/scheduling/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bergamottide {

namespace {

/*! @brief Weights are stored as integer multiples of 1/1000, so that the sum of active weights stays exact. */
constexpr double weightScale = 1000.0;

/*! @brief Lower bound of the cost of a run; keeps the value density finite and charges every run to its workspace. */
constexpr Duration minCost{1};
/*! @brief Lower bound of the value density; keeps the logarithm finite for a value of zero. */
constexpr double minValueDensity = 1e-18;

/*! @brief Returns the value density (value per microsecond) on a logarithmic scale, in steps of a factor of sqrt(2). */
int densityLevelOf(const QueueItem &item)
{
    const double density = item.value / static_cast<double>(std::max(item.cost, minCost).count());
    return static_cast<int>(std::floor(2.0 * std::log2(std::max(density, minValueDensity))));
}

} // namespace

bool FairQueue::DeadlineKey::operator<(const DeadlineKey &other) const
{
    return std::tie(due, other.value, sequence) < std::tie(other.due, value, other.sequence);
}

bool FairQueue::DensityKey::operator<(const DensityKey &other) const
{
    return std::tie(other.densityLevel, due, sequence) < std::tie(densityLevel, other.due, other.sequence);
}

FairQueue::FairQueue(std::size_t limit, std::size_t concurrency)
    : m_limit{std::max<std::size_t>(limit, 1)}
    , m_concurrency{std::max<std::size_t>(concurrency, 1)}
{
}

void FairQueue::setLimit(std::size_t limit)
{
    m_limit = std::max<std::size_t>(limit, 1);
}

void FairQueue::setConcurrency(std::size_t concurrency)
{
    m_concurrency = std::max<std::size_t>(concurrency, 1);
}

void FairQueue::setWeight(const WorkspaceName &workspace, double weight)
{
    const std::size_t index = flowIndexOf(workspace);
    Flow &flow = m_flows[index];
    const auto units = std::max<std::int64_t>(std::llround(weight * weightScale), 1);
    if (!flow.byDeadline.empty()) {
        m_activeWeight += units - flow.weight;
    }
    flow.weight = units;
    updateHeaps(index);
}

PushResult FairQueue::push(QueueItem item)
{
    item.cost = std::max(item.cost, minCost);
    const std::size_t flow = flowIndexOf(item.workspace);
    const RunId offered = item.run;
    insert(std::move(item), flow);
    if (size() <= m_limit) {
        return {true, std::nullopt};
    }
    QueueItem victim = remove(leastDenseSlot());
    if (victim.run == offered) {
        return {false, std::nullopt};
    }
    return {true, std::move(victim)};
}

std::optional<QueueItem> FairQueue::pop(TimePoint now)
{
    if (m_startTags.empty()) {
        return std::nullopt;
    }
    const std::size_t index = m_startTags.top();
    Flow &flow = m_flows[index];
    m_virtualTime = std::max(m_virtualTime, flow.startTag);
    const std::size_t slot = selectSlot(flow, now);
    const auto cost = static_cast<double>(m_slots[slot].item.cost.count());
    flow.startTag += cost / static_cast<double>(flow.weight);
    return remove(slot);
}

bool FairQueue::erase(const RunId &run)
{
    const auto found = m_slotsByRun.find(run);
    if (found == m_slotsByRun.end()) {
        return false;
    }
    remove(found->second);
    return true;
}

std::vector<QueueItem> FairQueue::takeInfeasible(TimePoint now)
{
    std::vector<QueueItem> infeasible;
    while (!m_latestStarts.empty() && m_latestStarts.topKey().first < now) {
        infeasible.push_back(remove(m_latestStarts.top()));
    }
    return infeasible;
}

std::optional<TimePoint> FairQueue::nextInfeasibleAt() const
{
    if (m_latestStarts.empty()) {
        return std::nullopt;
    }
    return m_latestStarts.topKey().first;
}

std::size_t FairQueue::size() const noexcept
{
    return m_slotsByRun.size();
}

Duration FairQueue::backlog() const noexcept
{
    return m_backlog;
}

Duration FairQueue::wait(const WorkspaceName &workspace) const
{
    const auto found = m_flowIndexes.find(workspace.text());
    return found == m_flowIndexes.end() ? Duration{} : wait(m_flows[found->second]);
}

std::vector<std::pair<WorkspaceName, Duration>> FairQueue::waits() const
{
    std::vector<std::pair<WorkspaceName, Duration>> result;
    result.reserve(m_startTags.size());
    for (const Flow &flow : m_flows) {
        if (flow.byDeadline.empty()) {
            continue;
        }
        result.emplace_back(flow.name, wait(flow));
    }
    return result;
}

std::size_t FairQueue::activeWorkspaces() const noexcept
{
    return m_startTags.size();
}

std::uint64_t FairQueue::steps() const noexcept
{
    return m_startTags.steps() + m_largestBacklogs.steps();
}

std::size_t FairQueue::flowIndexOf(const WorkspaceName &workspace)
{
    const auto [found, added] = m_flowIndexes.try_emplace(workspace.text(), m_flows.size());
    if (added) {
        m_flows.push_back(Flow{workspace, static_cast<std::int64_t>(weightScale)});
    }
    return found->second;
}

void FairQueue::insert(QueueItem item, std::size_t index)
{
    Flow &flow = m_flows[index];
    const std::size_t slot = freeSlot();
    const std::uint64_t sequence = m_nextSequence++;
    if (flow.byDeadline.empty()) {
        flow.startTag = std::max(flow.startTag, m_virtualTime);
        m_activeWeight += flow.weight;
    }
    flow.byDeadline.insert({item.due(), item.value, sequence, slot});
    flow.byDensity.insert({densityLevelOf(item), item.due(), sequence, slot});
    flow.backlog += item.cost;
    m_backlog += item.cost;
    m_latestStarts.set(slot, {item.latestStart(), sequence});
    m_slotsByRun.emplace(item.run, slot);
    m_slots[slot] = Slot{std::move(item), index, sequence};
    updateHeaps(index);
}

std::size_t FairQueue::freeSlot()
{
    if (m_freeSlots.empty()) {
        m_slots.emplace_back();
        return m_slots.size() - 1;
    }
    const std::size_t slot = m_freeSlots.back();
    m_freeSlots.pop_back();
    return slot;
}

QueueItem FairQueue::remove(std::size_t slot)
{
    const std::size_t index = m_slots[slot].flow;
    const std::uint64_t sequence = m_slots[slot].sequence;
    QueueItem item = std::move(m_slots[slot].item);
    m_freeSlots.push_back(slot);
    m_slotsByRun.erase(item.run);
    m_latestStarts.erase(slot);
    Flow &flow = m_flows[index];
    flow.byDeadline.erase({item.due(), item.value, sequence, slot});
    flow.byDensity.erase({densityLevelOf(item), item.due(), sequence, slot});
    flow.backlog -= item.cost;
    m_backlog -= item.cost;
    if (flow.byDeadline.empty()) {
        m_activeWeight -= flow.weight;
    }
    updateHeaps(index);
    return item;
}

void FairQueue::updateHeaps(std::size_t index)
{
    const Flow &flow = m_flows[index];
    if (flow.byDeadline.empty()) {
        m_startTags.erase(index);
        m_largestBacklogs.erase(index);
        return;
    }
    m_startTags.set(index, {flow.startTag, index});
    const double normalizedBacklog = static_cast<double>(flow.backlog.count()) / static_cast<double>(flow.weight);
    m_largestBacklogs.set(index, {-normalizedBacklog, index});
}

std::size_t FairQueue::leastDenseSlot() const
{
    return m_flows[m_largestBacklogs.top()].byDensity.rbegin()->slot;
}

std::size_t FairQueue::selectSlot(const Flow &flow, TimePoint now) const
{
    return missesDeadlines(flow, now) ? flow.byDensity.begin()->slot : flow.byDeadline.begin()->slot;
}

bool FairQueue::missesDeadlines(const Flow &flow, TimePoint now) const
{
    const QueueItem &last = m_slots[flow.byDeadline.rbegin()->slot].item;
    return now + wait(flow) > last.due();
}

Duration FairQueue::wait(const Flow &flow) const
{
    // The queue is work conserving, so the total backlog bounds the wait of every workspace.
    const auto atFairShare = static_cast<double>(flow.backlog.count()) * static_cast<double>(m_activeWeight)
        / static_cast<double>(flow.weight);
    const auto total = static_cast<double>(m_backlog.count());
    return Duration{static_cast<Duration::rep>(std::min(atFairShare, total) / static_cast<double>(m_concurrency))};
}

} // namespace bergamottide
