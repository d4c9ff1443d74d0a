#include "bergamottide/admission/admission.h"

#include <algorithm>
#include <numeric>

namespace bergamottide {

namespace {

/*! @brief Part of the slack that work of the least value may not use: half leaves it room while there is enough. */
constexpr double valueSpread = 0.5;
/*! @brief Time between two requests let through although their service seems too long; else nobody would ever learn
 * that the stage has become fast again. One a second costs next to nothing. */
constexpr Duration probePeriod = std::chrono::seconds{1};
/*! @brief Least time to come back: the next load report should have arrived by then. */
constexpr Duration leastRetryAfter = std::chrono::milliseconds{250};
/*! @brief Longest time to come back: bursts seldom last longer, and a caller should look again. */
constexpr Duration longestRetryAfter = std::chrono::seconds{30};

Duration scaled(Duration duration, double factor)
{
    return Duration{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}

} // namespace

Admission::Admission(Placement &placement, const EndpointTable &table)
    : m_placement{placement}
    , m_table{table}
{
}

AdmissionDecision Admission::judge(const AdmissionQuery &query, const Policy &policy, std::size_t entries,
                                   TimePoint now)
{
    const AdmissionDecision limits = judgeLimits(query.workspace, now);
    if (limits.reason != Reason::None) {
        return limits;
    }
    const Duration service = std::accumulate(query.costs.begin(), query.costs.end(), Duration::zero());
    const double density = query.kind.value / std::max(1e-6, std::chrono::duration<double>(service).count());
    m_demand.add(density, service, now);
    const Duration slack = scaled(query.remaining, 1.0 / std::max(1e-6, policy.admissionMargin)) - service;
    if (slack <= Duration::zero()) {
        return judgeService(query, service, now);
    }
    const Duration wait = bottleneckWait(query, policy, entries, now);
    const Duration allowed = scaled(slack, 1.0 - valueSpread * m_demand.shareAbove(density));
    if (wait <= allowed) {
        return {};
    }
    const Reason reason = wait > slack ? Reason::DeadlineUnreachable : Reason::Overloaded;
    return {reason, std::clamp(wait - allowed, leastRetryAfter, longestRetryAfter)};
}

AdmissionDecision Admission::judgeLimits(const Workspace &workspace, TimePoint now)
{
    const auto inProgress = m_inProgress.find(workspace.name.text());
    if (inProgress != m_inProgress.end() && inProgress->second >= workspace.maxInProgress) {
        return {Reason::RateLimited, leastRetryAfter};
    }
    if (workspace.maxRate <= 0.0) {
        return {};
    }
    const Duration wait = m_rates[workspace.name.text()].take(workspace.maxRate, now);
    return wait > Duration::zero() ? AdmissionDecision{Reason::RateLimited, wait} : AdmissionDecision{};
}

AdmissionDecision Admission::judgeService(const AdmissionQuery &query, Duration service, TimePoint now)
{
    TimePoint &next = m_nextProbe[KindKey{query.pipeline.name.text(), query.kind.name.text()}];
    if (now >= next) {
        next = now + probePeriod;
        return {};
    }
    return {Reason::DeadlineUnreachable, std::clamp(service - query.remaining, leastRetryAfter, longestRetryAfter)};
}

Duration Admission::bottleneckWait(const AdmissionQuery &query, const Policy &policy, std::size_t entries,
                                   TimePoint now)
{
    Duration longest{};
    for (std::size_t index = 0; index < query.pipeline.stages.size(); ++index) {
        const Stage &stage = query.pipeline.stages[index];
        const PlacementQuery place{stage.pool, query.model, query.workspace.name, query.prefix, query.costs[index],
                                   false,      {}};
        const auto wait = m_placement.estimateWait(place, policy, now);
        if (!wait || *wait <= policy.regionDistance) {
            // No endpoint at all is for the stage itself to say; next to no wait needs no closer look.
            continue;
        }
        longest = std::max(longest, *wait + pendingWait(query, stage.pool, entries));
    }
    return longest;
}

// Requests in their early stages will reach the bottleneck within a report's age, and no report shows them yet. Without
// them a burst would be admitted until its first requests arrive there.
Duration Admission::pendingWait(const AdmissionQuery &query, const PoolName &pool, std::size_t entries) const
{
    const auto pending = m_pending.find(PoolKey{query.workspace.name.text(), pool.text()});
    const PoolEndpoints *endpoints = m_table.pool(pool);
    if (pending == m_pending.end() || !endpoints) {
        return Duration::zero();
    }
    std::int64_t slots = 0;
    for (const EndpointSet &set : endpoints->all.available) {
        slots += set.slots();
    }
    return pending->second * static_cast<std::int64_t>(entries) / std::max<std::int64_t>(1, slots);
}

void Admission::admitted(const AdmissionQuery &query)
{
    ++m_inProgress[query.workspace.name.text()];
    for (std::size_t index = 0; index < query.costs.size(); ++index) {
        const PoolName &pool = query.pipeline.stages[index].pool;
        m_pending[PoolKey{query.workspace.name.text(), pool.text()}] += query.costs[index];
    }
}

void Admission::ended(const WorkspaceName &workspace)
{
    const auto found = m_inProgress.find(workspace.text());
    if (found != m_inProgress.end() && --found->second == 0) {
        m_inProgress.erase(found);
    }
}

void Admission::stageLeft(const WorkspaceName &workspace, const PoolName &pool, Duration cost)
{
    const auto found = m_pending.find(PoolKey{workspace.text(), pool.text()});
    if (found == m_pending.end()) {
        return;
    }
    found->second -= cost;
    if (found->second <= Duration::zero()) {
        m_pending.erase(found);
    }
}

} // namespace bergamottide
