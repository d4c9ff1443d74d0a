#include "bergamottide/serving/callplanner.h"

#include "bergamottide/serving/endpointspeed.h"

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Share of a full call, or of all that waits, below which a call waits for room at its endpoint. */
constexpr double leastFill = 0.6;
/*! @brief Share of the room that results of late requests may take: they wait longest, and would keep it from the
 * others. */
constexpr double lateRoomShare = 0.75;

} // namespace

CallPlanner::CallPlanner(EndpointBoard &endpoints, const PendingTasks &tasks, const WarmupLimiter &warmup,
                         const FetchPaths &paths)
    : m_endpoints{endpoints}
    , m_tasks{tasks}
    , m_warmup{warmup}
    , m_paths{paths}
{
}

std::optional<PlannedCall> CallPlanner::next(const Pool &pool, const StageQueue &queue, TimePoint now) const
{
    std::set<ZoneName> zones;
    for (const Endpoint *endpoint : m_endpoints.usable(pool.name, now)) {
        zones.insert(endpoint->record.zone);
    }
    Endpoint *best = nullptr;
    CallChoice chosen;
    for (Endpoint *endpoint : freeEndpoints(pool, now)) {
        CallChoice choice = choose(pool, *endpoint, queue, zones, now);
        if (!choice.items.empty() && (best == nullptr || isBetter(choice, *endpoint, chosen, *best, now))) {
            best = endpoint;
            chosen = std::move(choice);
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const std::size_t wanted = std::min<std::size_t>(waitingPieces(queue, m_tasks), pool.batch->batch);
    // Room comes back with every result that is used; a call that carries little would keep the endpoint from it.
    if (best->takenBytes() != 0 && static_cast<double>(chosen.items.size()) < leastFill * static_cast<double>(wanted)) {
        return std::nullopt;
    }
    return PlannedCall{best, std::move(chosen.items)};
}

std::vector<Endpoint *> CallPlanner::freeEndpoints(const Pool &pool, TimePoint now) const
{
    const std::vector<Endpoint *> usable = m_endpoints.usable(pool.name, now);
    const double fastest = minSlowness(usable, now);
    std::vector<Endpoint *> out;
    for (Endpoint *endpoint : usable) {
        const bool slow = currentSlowness(*endpoint, now) > fastest * maxRelativeSlowness;
        if (endpoint->inFlight < pool.batch->slots && endpoint->pausedUntil <= now && !slow
            && m_warmup.admits(pool, *endpoint, now)) {
            out.push_back(endpoint);
        }
    }
    return out;
}

bool CallPlanner::isBetter(const CallChoice &one, const Endpoint &endpoint, const CallChoice &other,
                           const Endpoint &rival, TimePoint now)
{
    if (one.items.size() != other.items.size()) {
        return one.items.size() > other.items.size();
    }
    if (one.local != other.local) {
        return one.local > other.local;
    }
    return currentSlowness(endpoint, now) < currentSlowness(rival, now);
}

/*
 * Large inputs and results are best kept within a zone. Tasks of other zones that are no more urgent than the first
 * wait for the endpoints there as long as the call fills without them.
 */
CallChoice CallPlanner::choose(const Pool &pool, const Endpoint &endpoint, const StageQueue &queue,
                               const std::set<ZoneName> &zones, TimePoint now) const
{
    CallChoice choice;
    choice.bytes = endpoint.takenBytes();
    const StageOrder &first = *queue.begin();
    for (const StageOrder &order : queue) {
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(order));
        const bool asUrgent =
            std::get<bool>(order) == std::get<bool>(first) && std::get<int>(order) == std::get<int>(first);
        const bool fits = pending.task.zone.empty() || pending.task.zone == endpoint.record.zone;
        if (fits && asUrgent && !m_paths.isBroken(pending.inputZones, endpoint.record.zone, now)) {
            take(pool, pending, choice);
        }
    }
    for (const StageOrder &order : queue) {
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(order));
        const bool fits = pending.task.zone == endpoint.record.zone || !zones.contains(pending.task.zone);
        if ((fits || pending.patientUntil <= now) && !m_paths.isBroken(pending.inputZones, endpoint.record.zone, now)) {
            take(pool, pending, choice);
        }
    }
    for (const CallItem &item : choice.items) {
        choice.local += m_tasks.at(item.task).task.zone == endpoint.record.zone ? 1 : 0;
    }
    return choice;
}

void CallPlanner::take(const Pool &pool, const PendingTask &pending, CallChoice &choice) const
{
    if (choice.items.size() >= pool.batch->batch || choice.tasks.contains(pending.task.id)) {
        return;
    }
    const double share = pending.isLate ? lateRoomShare : 1.0;
    const auto room = static_cast<std::uint64_t>(share * static_cast<double>(pool.batch->resultRoom));
    const std::size_t rest = pending.waiting.size();
    const bool isWhole =
        choice.items.size() + rest <= pool.batch->batch && choice.bytes + rest * pending.task.resultBytes <= room;
    // A request goes on when its last piece is made; the results of one that is spread over calls wait in scarce room.
    // The first in the queue is spread all the same, or one with many pieces would wait for ever.
    if (!isWhole && !choice.items.empty()) {
        return;
    }
    choice.tasks.insert(pending.task.id);
    for (const std::uint32_t piece : pending.waiting) {
        // The first result is always taken, or one larger than the room would wait for ever.
        const bool hasRoom = choice.bytes == 0 || choice.bytes + pending.task.resultBytes <= room;
        if (choice.items.size() >= pool.batch->batch || !hasRoom) {
            return;
        }
        choice.bytes += pending.task.resultBytes;
        choice.items.push_back({pending.task.id, piece, pending.task.resultBytes});
    }
}

} // namespace bergamottide::serving
