#include "bergamottide/scheduling/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bergamottide {

namespace {

/*! @brief Units of weight in a weight of one; whole numbers keep sums exact over any number of changes. */
constexpr double weightUnits = 1000.0;

/*! @brief Cost below which runs count alike: a free run must not have boundless worth, nor escape its share. */
constexpr Duration leastCost{1};
/*! @brief Worth below which runs count alike; it keeps the logarithm finite for a value of zero. */
constexpr double leastWorthValue = 1e-18;

/*! @brief Returns the value for the cost, in steps of the root of two. */
int worthOf(const QueueItem &item)
{
    const double worth = item.value / static_cast<double>(std::max(item.cost, leastCost).count());
    return static_cast<int>(std::floor(2.0 * std::log2(std::max(worth, leastWorthValue))));
}

} // namespace

bool FairQueue::DeadlineKey::operator<(const DeadlineKey &other) const
{
    return std::tie(due, other.value, sequence) < std::tie(other.due, value, other.sequence);
}

bool FairQueue::WorthKey::operator<(const WorthKey &other) const
{
    return std::tie(other.worth, due, sequence) < std::tie(worth, other.due, other.sequence);
}

FairQueue::FairQueue(std::size_t limit, std::size_t parallel)
    : m_limit{std::max<std::size_t>(limit, 1)}
    , m_parallel{std::max<std::size_t>(parallel, 1)}
{
}

void FairQueue::setLimit(std::size_t limit)
{
    m_limit = std::max<std::size_t>(limit, 1);
}

void FairQueue::setParallel(std::size_t parallel)
{
    m_parallel = std::max<std::size_t>(parallel, 1);
}

void FairQueue::setWeight(const WorkspaceName &workspace, double weight)
{
    const std::size_t index = shareOf(workspace);
    Share &share = m_shares[index];
    const auto units = std::max<std::int64_t>(std::llround(weight * weightUnits), 1);
    if (!share.byDeadline.empty()) {
        m_activeWeight += units - share.weight;
    }
    share.weight = units;
    rank(index);
}

QueueOutcome FairQueue::push(QueueItem item)
{
    item.cost = std::max(item.cost, leastCost);
    const std::size_t share = shareOf(item.workspace);
    const RunId offered = item.run;
    insert(std::move(item), share);
    if (size() <= m_limit) {
        return {true, std::nullopt};
    }
    QueueItem victim = remove(leastWorth());
    if (victim.run == offered) {
        return {false, std::nullopt};
    }
    return {true, std::move(victim)};
}

std::optional<QueueItem> FairQueue::pop(TimePoint now)
{
    if (m_starts.empty()) {
        return std::nullopt;
    }
    const std::size_t index = m_starts.top();
    Share &share = m_shares[index];
    m_virtualTime = std::max(m_virtualTime, share.nextStart);
    const std::size_t slot = choose(share, now);
    const auto cost = static_cast<double>(m_slots[slot].item.cost.count());
    share.nextStart += cost / static_cast<double>(share.weight);
    return remove(slot);
}

bool FairQueue::erase(const RunId &run)
{
    const auto found = m_slotOf.find(run);
    if (found == m_slotOf.end()) {
        return false;
    }
    remove(found->second);
    return true;
}

std::vector<QueueItem> FairQueue::takeDoomed(TimePoint now)
{
    std::vector<QueueItem> doomed;
    while (!m_latestStarts.empty() && m_latestStarts.topKey().first < now) {
        doomed.push_back(remove(m_latestStarts.top()));
    }
    return doomed;
}

std::optional<TimePoint> FairQueue::nextDoomed() const
{
    if (m_latestStarts.empty()) {
        return std::nullopt;
    }
    return m_latestStarts.topKey().first;
}

std::size_t FairQueue::size() const noexcept
{
    return m_slotOf.size();
}

Duration FairQueue::backlog() const noexcept
{
    return m_backlog;
}

Duration FairQueue::wait(const WorkspaceName &workspace) const
{
    const auto found = m_shareOf.find(workspace.text());
    return found == m_shareOf.end() ? Duration{} : wait(m_shares[found->second]);
}

std::vector<std::pair<WorkspaceName, Duration>> FairQueue::waits() const
{
    std::vector<std::pair<WorkspaceName, Duration>> all;
    all.reserve(m_starts.size());
    for (const Share &share : m_shares) {
        if (share.byDeadline.empty()) {
            continue;
        }
        all.emplace_back(share.name, wait(share));
    }
    return all;
}

std::size_t FairQueue::active() const noexcept
{
    return m_starts.size();
}

std::uint64_t FairQueue::steps() const noexcept
{
    return m_starts.steps() + m_largest.steps();
}

std::size_t FairQueue::shareOf(const WorkspaceName &workspace)
{
    const auto [found, added] = m_shareOf.try_emplace(workspace.text(), m_shares.size());
    if (added) {
        m_shares.push_back(Share{workspace, static_cast<std::int64_t>(weightUnits)});
    }
    return found->second;
}

void FairQueue::insert(QueueItem item, std::size_t index)
{
    Share &share = m_shares[index];
    const std::size_t slot = freeSlot();
    const std::uint64_t sequence = m_nextSequence++;
    if (share.byDeadline.empty()) {
        share.nextStart = std::max(share.nextStart, m_virtualTime);
        m_activeWeight += share.weight;
    }
    share.byDeadline.insert({item.due(), item.value, sequence, slot});
    share.byWorth.insert({worthOf(item), item.due(), sequence, slot});
    share.backlog += item.cost;
    m_backlog += item.cost;
    m_latestStarts.set(slot, {item.latestStart(), sequence});
    m_slotOf.emplace(item.run, slot);
    m_slots[slot] = Slot{std::move(item), index, sequence};
    rank(index);
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
    const std::size_t index = m_slots[slot].share;
    const std::uint64_t sequence = m_slots[slot].sequence;
    QueueItem item = std::move(m_slots[slot].item);
    m_freeSlots.push_back(slot);
    m_slotOf.erase(item.run);
    m_latestStarts.erase(slot);
    Share &share = m_shares[index];
    share.byDeadline.erase({item.due(), item.value, sequence, slot});
    share.byWorth.erase({worthOf(item), item.due(), sequence, slot});
    share.backlog -= item.cost;
    m_backlog -= item.cost;
    if (share.byDeadline.empty()) {
        m_activeWeight -= share.weight;
    }
    rank(index);
    return item;
}

void FairQueue::rank(std::size_t index)
{
    const Share &share = m_shares[index];
    if (share.byDeadline.empty()) {
        m_starts.erase(index);
        m_largest.erase(index);
        return;
    }
    m_starts.set(index, {share.nextStart, index});
    const double over = static_cast<double>(share.backlog.count()) / static_cast<double>(share.weight);
    m_largest.set(index, {-over, index});
}

std::size_t FairQueue::leastWorth() const
{
    return m_shares[m_largest.top()].byWorth.rbegin()->slot;
}

std::size_t FairQueue::choose(const Share &share, TimePoint now) const
{
    return saturated(share, now) ? share.byWorth.begin()->slot : share.byDeadline.begin()->slot;
}

bool FairQueue::saturated(const Share &share, TimePoint now) const
{
    const QueueItem &last = m_slots[share.byDeadline.rbegin()->slot].item;
    return now + wait(share) > last.due();
}

Duration FairQueue::wait(const Share &share) const
{
    // Work conserving: a workspace waits for its own backlog at its share, but never for more than all there is.
    const auto atShare = static_cast<double>(share.backlog.count()) * static_cast<double>(m_activeWeight)
        / static_cast<double>(share.weight);
    const auto all = static_cast<double>(m_backlog.count());
    return Duration{static_cast<Duration::rep>(std::min(atShare, all) / static_cast<double>(m_parallel))};
}

} // namespace bergamottide
