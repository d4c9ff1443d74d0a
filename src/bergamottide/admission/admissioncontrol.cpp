#include "bergamottide/admission/admissioncontrol.h"

#include <algorithm>
#include <numeric>

namespace bergamottide {

namespace {

/*! @brief Share of the remaining time that a request may wait for its bottleneck stage during a burst. */
constexpr double burstWaitShare = 0.6;
/*! @brief The same under sustained saturation, in which a longer queue doesn't increase the throughput. */
constexpr double sustainedWaitShare = 0.3;
/*! @brief Safety factor on estimated waits, since load reports are stale by up to one period. */
constexpr double waitSafetyFactor = 1.1;
/*! @brief Share of the allowed wait that is withheld from requests of the lowest value density during a burst. */
constexpr double burstValueSpread = 0.5;
/*! @brief The same under sustained saturation; below one, so that such requests still use idle capacity. */
constexpr double sustainedValueSpread = 0.95;
/*! @brief Wait, as a share of the remaining time, above which a workspace counts as queueing for a pool. */
constexpr double queueingThreshold = 0.03;
/*! @brief Interval of the probes: requests that are admitted although their estimated service time exceeds the
 * remaining time. Without them the estimate could never recover after a slow period. */
constexpr Duration probePeriod = std::chrono::seconds{1};
/*! @brief Lower bound of `retryAfter`; the next load report should have arrived by then. */
constexpr Duration minRetryAfter = std::chrono::milliseconds{250};
/*! @brief Upper bound of `retryAfter`; bursts seldom last longer. */
constexpr Duration maxRetryAfter = std::chrono::seconds{30};

/*! @brief Returns the value per second of endpoint time of a stage. */
double valueDensity(const AdmissionQuery &query, std::size_t stage)
{
    const double seconds = std::chrono::duration<double>(query.costs[stage]).count();
    return query.kind.value / std::max(1e-6, seconds);
}

} // namespace

AdmissionControl::AdmissionControl(Placement &placement, const EndpointTable &table)
    : m_placement{placement}
    , m_table{table}
{
}

AdmissionDecision AdmissionControl::decide(const AdmissionQuery &query, const Policy &policy, std::size_t entryCount,
                                           TimePoint now)
{
    const AdmissionDecision limits = checkWorkspaceLimits(query.workspace, now);
    if (limits.reason != Reason::None) {
        return limits;
    }
    recordDemand(query, now);
    const Duration service = std::accumulate(query.costs.begin(), query.costs.end(), Duration::zero());
    const Duration usableTime = scaled(query.remaining, 1.0 / std::max(1e-6, policy.admissionMargin));
    if (service >= usableTime) {
        return probeOrRefuse(query, service, now);
    }
    const WaitEstimate waits = estimateWaits(query, policy, entryCount, now);
    const Duration needed = service + scaled(waits.total, waitSafetyFactor);
    if (needed > usableTime) {
        return {Reason::DeadlineUnreachable, std::clamp(needed - usableTime, minRetryAfter, maxRetryAfter)};
    }
    const Duration allowed = allowedWait(query, waits, now);
    if (waits.longest > allowed) {
        return {Reason::Overloaded, std::clamp(waits.longest - allowed, minRetryAfter, maxRetryAfter)};
    }
    return {};
}

// The allowed wait shrinks while the queue persists, from a burst's share to that of sustained saturation after one
// deadline.
Duration AdmissionControl::allowedWait(const AdmissionQuery &query, const WaitEstimate &waits, TimePoint now)
{
    const PoolName &pool = query.pipeline.stages[waits.bottleneck].pool;
    const PoolKey key{query.workspace.name.text(), pool.text()};
    if (waits.longest <= scaled(query.remaining, queueingThreshold)) {
        m_queueingSince.erase(key);
        return query.remaining;
    }
    const TimePoint since = m_queueingSince.try_emplace(key, now).first->second;
    const double sustained = std::min(1.0, std::chrono::duration<double>(now - since) / query.remaining);
    const double share = burstWaitShare + sustained * (sustainedWaitShare - burstWaitShare);
    const double spread = burstValueSpread + sustained * (sustainedValueSpread - burstValueSpread);
    return scaled(query.remaining, share * (1.0 - spread * shareOfHigherValue(query, waits.bottleneck)));
}

void AdmissionControl::recordDemand(const AdmissionQuery &query, TimePoint now)
{
    for (std::size_t stage = 0; stage < query.costs.size(); ++stage) {
        DemandHistogram &demand = m_demand[query.pipeline.stages[stage].pool.text()];
        demand.add(valueDensity(query, stage), query.costs[stage], now);
    }
}

// Returns the share of the recent demand for the stage's pool that has a higher value density than the request.
double AdmissionControl::shareOfHigherValue(const AdmissionQuery &query, std::size_t stage)
{
    return m_demand[query.pipeline.stages[stage].pool.text()].shareAbove(valueDensity(query, stage));
}

AdmissionDecision AdmissionControl::checkWorkspaceLimits(const Workspace &workspace, TimePoint now)
{
    const auto inProgress = m_inProgress.find(workspace.name.text());
    if (inProgress != m_inProgress.end() && inProgress->second >= workspace.maxInProgress) {
        return {Reason::RateLimited, minRetryAfter};
    }
    if (workspace.maxRate <= 0.0) {
        return {};
    }
    const Duration wait = m_rates[workspace.name.text()].take(workspace.maxRate, now);
    return wait > Duration::zero() ? AdmissionDecision{Reason::RateLimited, wait} : AdmissionDecision{};
}

AdmissionDecision AdmissionControl::probeOrRefuse(const AdmissionQuery &query, Duration service, TimePoint now)
{
    TimePoint &next = m_nextProbe[KindKey{query.pipeline.name.text(), query.kind.name.text()}];
    if (now >= next) {
        next = now + probePeriod;
        return {};
    }
    return {Reason::DeadlineUnreachable, std::clamp(service - query.remaining, minRetryAfter, maxRetryAfter)};
}

AdmissionControl::WaitEstimate AdmissionControl::estimateWaits(const AdmissionQuery &query, const Policy &policy,
                                                               std::size_t entryCount, TimePoint now)
{
    WaitEstimate waits;
    for (std::size_t index = 0; index < query.pipeline.stages.size(); ++index) {
        const Stage &stage = query.pipeline.stages[index];
        const PlacementQuery placementQuery{
            stage.pool, query.model, query.workspace.name, query.prefix, query.costs[index], false, {}};
        const auto estimated = m_placement.estimateWait(placementQuery, policy, now);
        if (!estimated || *estimated <= policy.regionDistance) {
            // A missing endpoint is reported by the stage itself; a negligible wait needs no correction.
            continue;
        }
        const Duration wait = *estimated + pendingWait(query, stage.pool, entryCount);
        waits.total += wait;
        if (wait > waits.longest) {
            waits.longest = wait;
            waits.bottleneck = index;
        }
    }
    return waits;
}

// Returns the wait caused by admitted requests that have not reached the pool yet. Load reports don't include them, so
// a burst would otherwise be admitted without limit until its first requests arrive there.
Duration AdmissionControl::pendingWait(const AdmissionQuery &query, const PoolName &pool, std::size_t entryCount) const
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
    return pending->second * static_cast<std::int64_t>(entryCount) / std::max<std::int64_t>(1, slots);
}

void AdmissionControl::requestAdmitted(const AdmissionQuery &query)
{
    ++m_inProgress[query.workspace.name.text()];
    for (std::size_t index = 0; index < query.costs.size(); ++index) {
        const PoolName &pool = query.pipeline.stages[index].pool;
        m_pending[PoolKey{query.workspace.name.text(), pool.text()}] += query.costs[index];
    }
}

void AdmissionControl::requestEnded(const WorkspaceName &workspace)
{
    const auto found = m_inProgress.find(workspace.text());
    if (found != m_inProgress.end() && --found->second == 0) {
        m_inProgress.erase(found);
    }
}

void AdmissionControl::removePendingStage(const WorkspaceName &workspace, const PoolName &pool, Duration cost)
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
