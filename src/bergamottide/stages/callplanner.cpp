#include "bergamottide/stages/callplanner.h"

#include "bergamottide/pools/endpointspeed.h"

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Minimum share of the items wanted for a call, unless no result memory is in use at its endpoint. */
constexpr double minFillRatio = 0.6;
/*! @brief Memory usage up to which results of late requests are added, as these are stored longest. */
constexpr double lateMemoryShare = 0.75;
/*! @brief Backlog, in full calls, above which calls are filled at the cost of split tasks. With a shorter one, the rest
 * of a split task could wait for an endpoint that the whole task would not have needed. */
constexpr std::size_t callsOfSaturatedQueue = 2;
/*! @brief Memory usage above which tasks are not split, as the first results of a split task are stored longer. */
constexpr double splitMemoryShare = 0.6;
/*! @brief Broken calls after which a task is sent alone, so that it crashes no endpoint under the pieces of others. */
constexpr std::uint32_t maxBrokenSharedCalls = 2;

} // namespace

CallPlanner::CallPlanner(EndpointRegistry &endpoints, const PendingTasks &tasks, const RateLimiter &rateLimiter,
                         const FetchPaths &paths)
    : m_endpoints{endpoints}
    , m_tasks{tasks}
    , m_rateLimiter{rateLimiter}
    , m_paths{paths}
{
}

void CallPlanner::setFillsAllPools(bool fillsAllPools) noexcept
{
    m_fillsAllPools = fillsAllPools;
}

std::optional<PlannedCall> CallPlanner::nextCall(const Pool &pool, const StageQueue &queue, TimePoint now) const
{
    std::set<ZoneName> poolZones;
    for (const Endpoint *endpoint : m_endpoints.usable(pool.name, now)) {
        poolZones.insert(endpoint->record.zone);
    }
    const std::size_t waiting = countWaitingPieces(queue, m_tasks);
    const bool isSaturated = waiting > callsOfSaturatedQueue * pool.batch->maxItems
        && (m_fillsAllPools || m_endpoints.reportsPace(pool.name));
    Endpoint *bestEndpoint = nullptr;
    CallCandidate best;
    for (Endpoint *endpoint : availableEndpoints(pool, now)) {
        CallCandidate candidate = fillCall(pool, *endpoint, queue, poolZones, isSaturated, now);
        if (!candidate.items.empty()
            && (bestEndpoint == nullptr || isBetter(pool, candidate, *endpoint, best, *bestEndpoint, now))) {
            bestEndpoint = endpoint;
            best = std::move(candidate);
        }
    }
    if (bestEndpoint == nullptr) {
        return std::nullopt;
    }
    const std::size_t wanted = std::min<std::size_t>(waiting, pool.batch->maxItems);
    // Stored results will soon be used and their memory freed; until then a small call would occupy the endpoint.
    if (!best.isComplete && bestEndpoint->usedResultBytes() != 0
        && static_cast<double>(best.items.size()) < minFillRatio * static_cast<double>(wanted)) {
        return std::nullopt;
    }
    return PlannedCall{bestEndpoint, std::move(best.items)};
}

std::vector<Endpoint *> CallPlanner::availableEndpoints(const Pool &pool, TimePoint now) const
{
    const std::vector<Endpoint *> usable = m_endpoints.usable(pool.name, now);
    const double shortest = minRelativeDuration(m_endpoints.loads(), usable, *pool.batch, now);
    std::vector<Endpoint *> out;
    for (Endpoint *endpoint : usable) {
        const bool isSlow =
            relativeDuration(m_endpoints.loads(), *endpoint, *pool.batch, now) > shortest * maxRelativeSlowness;
        if (endpoint->inFlight < pool.batch->slots && !isSlow && m_rateLimiter.admits(pool, *endpoint, now)) {
            out.push_back(endpoint);
        }
    }
    return out;
}

bool CallPlanner::isBetter(const Pool &pool, const CallCandidate &candidate, const Endpoint &endpoint,
                           const CallCandidate &other, const Endpoint &otherEndpoint, TimePoint now) const
{
    if (candidate.items.size() != other.items.size()) {
        return candidate.items.size() > other.items.size();
    }
    if (candidate.localItems != other.localItems) {
        return candidate.localItems > other.localItems;
    }
    const load::LoadTable &loads = m_endpoints.loads();
    return relativeDuration(loads, endpoint, *pool.batch, now)
        < relativeDuration(loads, otherEndpoint, *pool.batch, now);
}

/*
 * Fills the call first with the most urgent tasks that prefer the endpoint's zone, then with any task that may go
 * there. This keeps large inputs and results within a zone.
 */
CallCandidate CallPlanner::fillCall(const Pool &pool, const Endpoint &endpoint, const StageQueue &queue,
                                    const std::set<ZoneName> &poolZones, bool isSaturated, TimePoint now) const
{
    CallCandidate candidate;
    candidate.usedBytes = endpoint.usedResultBytes();
    candidate.maySplit = isSaturated
        && static_cast<double>(candidate.usedBytes) < splitMemoryShare * static_cast<double>(pool.batch->resultMemory);
    const QueueKey &first = *queue.begin();
    for (const QueueKey &key : queue) {
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(key));
        const bool isSameUrgency = std::get<bool>(key) == std::get<bool>(first)
            && std::get<int>(key) == std::get<int>(first) && std::get<ShareMark>(key) == std::get<ShareMark>(first);
        const bool isPreferredZone =
            pending.task.preferredZone.empty() || pending.task.preferredZone == endpoint.record.zone;
        if (isPreferredZone && isSameUrgency && !m_paths.isBroken(pending.inputZones, endpoint.record.zone, now)) {
            addTask(pool, pending, candidate);
        }
    }
    for (const QueueKey &key : queue) {
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(key));
        const bool isZoneAllowed =
            pending.task.preferredZone == endpoint.record.zone || !poolZones.contains(pending.task.preferredZone);
        if ((isZoneAllowed || pending.zoneWaitUntil <= now)
            && !m_paths.isBroken(pending.inputZones, endpoint.record.zone, now)) {
            addTask(pool, pending, candidate);
        }
    }
    for (const CallItem &item : candidate.items) {
        candidate.localItems += m_tasks.at(item.task).task.preferredZone == endpoint.record.zone ? 1 : 0;
    }
    return candidate;
}

void CallPlanner::addTask(const Pool &pool, const PendingTask &pending, CallCandidate &candidate) const
{
    const bool isSentAlone = pending.brokenCalls >= maxBrokenSharedCalls;
    if (candidate.isComplete || candidate.items.size() >= pool.batch->maxItems
        || candidate.tasks.contains(pending.task.id) || (isSentAlone && !candidate.items.empty())) {
        return;
    }
    const double share = pending.isLate ? lateMemoryShare : 1.0;
    const auto memoryLimit = static_cast<std::uint64_t>(share * static_cast<double>(pool.batch->resultMemory));
    const std::size_t remainingPieces = pending.waitingPieces.size();
    const bool fitsWhole = candidate.items.size() + remainingPieces <= pool.batch->maxItems
        && candidate.usedBytes + remainingPieces * pending.task.resultBytes <= memoryLimit;
    // A request proceeds only when all pieces are done; splitting it over calls keeps its first results in memory for
    // longer. The first task of a call may be split, or one larger than a batch would never be sent. So may the last
    // one while the pool is saturated: calls with empty items lower the throughput that all waiting requests depend on.
    if (!fitsWhole && !candidate.items.empty() && !candidate.maySplit) {
        return;
    }
    candidate.tasks.insert(pending.task.id);
    candidate.isComplete = isSentAlone;
    for (const std::uint32_t piece : pending.waitingPieces) {
        // A result larger than the limit is accepted when the memory is empty, or it would wait forever.
        const bool fits = candidate.usedBytes == 0 || candidate.usedBytes + pending.task.resultBytes <= memoryLimit;
        if (candidate.items.size() >= pool.batch->maxItems || !fits) {
            return;
        }
        candidate.usedBytes += pending.task.resultBytes;
        candidate.items.push_back({pending.task.id, piece, pending.task.resultBytes});
    }
}

} // namespace bergamottide::serving
