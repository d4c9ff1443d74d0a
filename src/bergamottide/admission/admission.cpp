#include "bergamottide/admission/admission.h"

#include <algorithm>
#include <numeric>

namespace bergamottide {

namespace {

/*! @brief Share of the deadline that may be spent waiting for the bottleneck while a burst lasts. */
constexpr double burstWaitShare = 0.6;
/*! @brief The same under lasting saturation: a longer queue serves no more requests then, and lets a full early stage
 * keep out those with long stages behind it. */
constexpr double lastingWaitShare = 0.3;
/*! @brief Factor on estimated waits: they are a report old, and a request refused by the last stage wasted the others.
 */
constexpr double waitReserve = 1.1;
/*! @brief Part of that wait that work of the least value may not use while a burst lasts. */
constexpr double burstValueSpread = 0.5;
/*! @brief The same under lasting saturation: it still gets what others leave free. */
constexpr double lastingValueSpread = 0.95;
/*! @brief Wait, as a share of the deadline, from which on a workspace counts as waiting for a pool. */
constexpr double waitingShare = 0.03;
/*! @brief Time between two requests let through although their service seems too long; else nobody would ever learn
 * that the stage has become fast again. One a second costs next to nothing. */
constexpr Duration probePeriod = std::chrono::seconds{1};
/*! @brief Least time to come back: the next load report should have arrived by then. */
constexpr Duration leastRetryAfter = std::chrono::milliseconds{250};
/*! @brief Longest time to come back: bursts seldom last longer, and a caller should look again. */
constexpr Duration longestRetryAfter = std::chrono::seconds{30};

/*! @brief Value per second of the endpoint time that a stage takes. */
double densityOf(const AdmissionQuery &query, std::size_t stage)
{
    const double seconds = std::chrono::duration<double>(query.costs[stage]).count();
    return query.kind.value / std::max(1e-6, seconds);
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
    countDemand(query, now);
    const Duration service = std::accumulate(query.costs.begin(), query.costs.end(), Duration::zero());
    const Duration usable = scaled(query.remaining, 1.0 / std::max(1e-6, policy.admissionMargin));
    if (service >= usable) {
        return judgeService(query, service, now);
    }
    const Waits waits = estimateWaits(query, policy, entries, now);
    const Duration needed = service + scaled(waits.total, waitReserve);
    if (needed > usable) {
        return {Reason::DeadlineUnreachable, std::clamp(needed - usable, leastRetryAfter, longestRetryAfter)};
    }
    const Duration allowed = allowedWait(query, waits, now);
    if (waits.longest > allowed) {
        return {Reason::Overloaded, std::clamp(waits.longest - allowed, leastRetryAfter, longestRetryAfter)};
    }
    return {};
}

// A queue that empties again soon is a burst, and worth its wait; one that has stood for a whole deadline is not.
Duration Admission::allowedWait(const AdmissionQuery &query, const Waits &waits, TimePoint now)
{
    const PoolName &pool = query.pipeline.stages[waits.bottleneck].pool;
    const PoolKey key{query.workspace.name.text(), pool.text()};
    if (waits.longest <= scaled(query.remaining, waitingShare)) {
        m_waitingSince.erase(key);
        return query.remaining;
    }
    const TimePoint since = m_waitingSince.try_emplace(key, now).first->second;
    const double lasting = std::min(1.0, std::chrono::duration<double>(now - since) / query.remaining);
    const double share = burstWaitShare + lasting * (lastingWaitShare - burstWaitShare);
    const double spread = burstValueSpread + lasting * (lastingValueSpread - burstValueSpread);
    return scaled(query.remaining, share * (1.0 - spread * rankAt(query, waits.bottleneck)));
}

void Admission::countDemand(const AdmissionQuery &query, TimePoint now)
{
    for (std::size_t stage = 0; stage < query.costs.size(); ++stage) {
        ValueDemand &demand = m_demand[query.pipeline.stages[stage].pool.text()];
        demand.add(densityOf(query, stage), query.costs[stage], now);
    }
}

// Share of the recent demand for the stage's pool that is worth more than this request.
double Admission::rankAt(const AdmissionQuery &query, std::size_t stage)
{
    return m_demand[query.pipeline.stages[stage].pool.text()].shareAbove(densityOf(query, stage));
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

Admission::Waits Admission::estimateWaits(const AdmissionQuery &query, const Policy &policy, std::size_t entries,
                                          TimePoint now)
{
    Waits waits;
    for (std::size_t index = 0; index < query.pipeline.stages.size(); ++index) {
        const Stage &stage = query.pipeline.stages[index];
        const PlacementQuery place{stage.pool, query.model, query.workspace.name, query.prefix, query.costs[index],
                                   false,      {}};
        const auto estimated = m_placement.estimateWait(place, policy, now);
        if (!estimated || *estimated <= policy.regionDistance) {
            // No endpoint at all is for the stage itself to say; next to no wait needs no closer look.
            continue;
        }
        const Duration wait = *estimated + pendingWait(query, stage.pool, entries);
        waits.total += wait;
        if (wait > waits.longest) {
            waits.longest = wait;
            waits.bottleneck = index;
        }
    }
    return waits;
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
