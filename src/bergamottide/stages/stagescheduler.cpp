#include "bergamottide/stages/stagescheduler.h"

#include "bergamottide/pools/endpointspeed.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamottide::serving {

namespace {

/*! @brief A task fails after more failed attempts, excluding rejections, than this number times its pieces. */
constexpr std::uint32_t maxFailuresPerPiece = 3;
/*! @brief A call times out after this multiple of its expected duration, plus an allowance for the network. */
constexpr int callTimeoutFactor = 3;
constexpr Duration callTimeoutAllowance = std::chrono::milliseconds{200};
/*! @brief Delay beyond its latest start at which a task counts as late; covers the error of the estimates. */
constexpr Duration lateTolerance = std::chrono::milliseconds{50};
/*! @brief Maximum wait of a late task; one that would wait longer fails, so that its caller can retry. */
constexpr Duration maxLateWait = std::chrono::milliseconds{700};
/*! @brief Inputs count as fetched after this multiple of their transfer time, plus an allowance for the latency; the
 * links are shared with other tasks. */
constexpr int fetchTimeFactor = 6;
constexpr Duration fetchAllowance = std::chrono::milliseconds{60};
/*! @brief Time for which a report that only this process uses an endpoint is trusted. An endpoint that is busy with the
 * call of another scheduler fetches inputs later than estimated. */
constexpr Duration exclusivityTtl = std::chrono::seconds{2};
/*! @brief Upper bound of the share of a pool that a forecast assigns to more urgent work still to arrive. */
constexpr double maxUrgentShare = 0.8;
/*! @brief Maximum wait for an endpoint of the preferred zone; calls take 150 ms and more, so one of them is likely to
 * end meanwhile. */
constexpr Duration maxZoneWait = std::chrono::milliseconds{200};
/*! @brief A task stops waiting for its preferred zone this long before its latest start. */
constexpr Duration zoneWaitMargin = std::chrono::milliseconds{200};
/*! @brief Pause in calls to an endpoint without enough memory for a result, so that other results can be released. */
constexpr Duration memoryFullPause = std::chrono::milliseconds{250};
/*! @brief Maximum time between scans of a queue; even without an event, ejections end and tasks become late. */
constexpr Duration scanPeriod = std::chrono::milliseconds{10};
/*! @brief Pause in calls to an endpoint that rejected one, as it is busy with another process or draining, or that lost
 * the connection of one, until it has been checked. */
constexpr Duration rejectionPause = std::chrono::milliseconds{60};

/*! @brief Returns the transfer time of the inputs of a task; every piece fetches all of them. */
Duration fetchTime(const BatchSpec &spec, const StageTask &task)
{
    double bytes = 0.0;
    for (const StoredResult &input : task.inputs) {
        bytes += static_cast<double>(input.bytes) * task.pieces;
    }
    const double seconds = spec.fetchBytesPerSecond > 0.0 ? bytes / spec.fetchBytesPerSecond : 0.0;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::vector<std::string> resultHandles(const std::vector<StoredResult> &results)
{
    std::vector<std::string> handles;
    handles.reserve(results.size());
    for (const StoredResult &result : results) {
        handles.push_back(result.handle);
    }
    return handles;
}

Duration expectedCallTime(const BatchSpec &spec, std::size_t items)
{
    return spec.callTime + spec.itemTime * static_cast<std::int64_t>(items);
}

/*! @brief Returns the share of the endpoints' result memory in use. */
double memoryUsage(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints)
{
    const double capacity = static_cast<double>(spec.resultMemory) * static_cast<double>(endpoints.size());
    double used = 0.0;
    for (const Endpoint *endpoint : endpoints) {
        used += static_cast<double>(endpoint->usedResultBytes());
    }
    return capacity > 0.0 ? used / capacity : 0.0;
}

/*! @brief Returns the attempts in a call, separated by commas; consecutive duplicates are merged. */
std::string joinAttempts(const StartStageCall &call)
{
    std::string out;
    std::string_view last;
    for (const StageItem &item : call.items) {
        if (item.attempt == last) {
            continue;
        }
        last = item.attempt;
        absl::StrAppend(&out, out.empty() ? "" : ",", item.attempt);
    }
    return out;
}

} // namespace

StageScheduler::StageScheduler(EndpointRegistry &endpoints, RetryBudget &budget, const RateLimiter &rateLimiter,
                               FetchPaths &paths, MemoryPressureCheck isMemoryScarce)
    : m_endpoints{endpoints}
    , m_budget{budget}
    , m_paths{paths}
    , m_isMemoryScarce{std::move(isMemoryScarce)}
    , m_resultMemory{endpoints}
    , m_planner{endpoints, m_tasks, rateLimiter, paths}
{
}

void StageScheduler::setSharesAllPools(bool sharesAllPools) noexcept
{
    m_sharesAllPools = sharesAllPools;
    m_planner.setFillsAllPools(sharesAllPools);
}

void StageScheduler::submit(StageTask task, TimePoint now)
{
    const StageTaskId id = task.id;
    PendingTask pending;
    for (std::uint32_t piece = 0; piece < task.pieces; ++piece) {
        pending.waitingPieces.push_back(piece);
    }
    pending.unfinishedPieces = task.pieces;
    for (const StoredResult &input : task.inputs) {
        if (const Endpoint *source = m_endpoints.find(input.endpoint); source != nullptr) {
            pending.inputZones.insert(source->record.zone);
        }
    }
    pending.zoneWaitUntil =
        task.preferredZone.empty() ? now : std::min(now + maxZoneWait, task.latestStart - zoneWaitMargin);
    pending.task = std::move(task);
    if (sharing::FairShares *shares = sharesOf(pending.task.pool); shares != nullptr) {
        shares->recordRequested(pending.task.workspace, pending.task.pieces, now);
    }
    pending.share = shareMark(pending.task);
    m_queues[pending.task.pool].insert(queueKey(pending));
    m_resultMemory.setReportedUsage(pending.task, now);
    m_loads[pending.task.pool].recordArrival(pending.task.rank, pending.task.pieces, now);
    m_budget.recordRequest(pending.task.pool, now);
    m_scans[pending.task.pool].isRequested = true;
    m_tasks.emplace(id, std::move(pending));
}

void StageScheduler::cancel(StageTaskId task)
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end()) {
        return;
    }
    m_queues[found->second.task.pool].erase(queueKey(found->second));
    m_tasks.erase(found);
}

std::vector<StageTask> StageScheduler::takeUnstarted(const std::function<bool(const PoolName &pool)> &isTakenOver)
{
    std::vector<StageTask> out;
    for (const auto &[id, pending] : m_tasks) {
        if (pending.waitingPieces.size() == pending.task.pieces && isTakenOver(pending.task.pool)) {
            out.push_back(pending.task);
        }
    }
    for (const StageTask &task : out) {
        cancel(task.id);
    }
    return out;
}

void StageScheduler::dispatch(const Catalog &catalog, TimePoint now, Effects &effects)
{
    for (auto &[name, queue] : m_queues) {
        const Pool *pool = catalog.findPool(name);
        if (queue.empty() && pool != nullptr && hasWorkspacesAboveShare(name)) {
            markShares(*pool, queue, now, effects);
        }
        if (queue.empty() || pool == nullptr || !pool->batch) {
            continue;
        }
        QueueScan &scan = m_scans[name];
        if (!isScanDue(scan, now)) {
            continue;
        }
        dispatchPool(*pool, queue, now, effects);
        scan = {false, now, firstZoneWaitEnd(queue, now)};
        ++m_scanCount;
    }
}

/*
 * Most events that this process handles, such as each token of a stream, do not affect the queues. Scanning them at
 * every event would take too much CPU time: 0.46 of a core against 0.04, with 41 endpoints and 560 tasks a second
 * (benchmark `keepQueue`).
 */
bool StageScheduler::isScanDue(const QueueScan &scan, TimePoint now)
{
    return scan.isRequested || now - scan.at >= scanPeriod || (scan.zoneWaitEnds && *scan.zoneWaitEnds <= now);
}

void StageScheduler::requestScans()
{
    for (auto &[pool, scan] : m_scans) {
        scan.isRequested = true;
    }
}

std::optional<TimePoint> StageScheduler::firstZoneWaitEnd(const StageQueue &queue, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const QueueKey &key : queue) {
        const TimePoint until = m_tasks.at(std::get<StageTaskId>(key)).zoneWaitUntil;
        if (until > now && (!first || until < *first)) {
            first = until;
        }
    }
    return first;
}

/*! @brief Returns the shares of a pool; null if it is not shared among workspaces. */
sharing::FairShares *StageScheduler::sharesOf(const PoolName &pool)
{
    return m_sharesAllPools || m_endpoints.reportsPace(pool) ? &m_shares[pool] : nullptr;
}

bool StageScheduler::hasWorkspacesAboveShare(const PoolName &pool) const
{
    const auto shares = m_shares.find(pool);
    return shares != m_shares.end() && shares->second.aboveCount() != 0;
}

ShareMark StageScheduler::shareMark(const StageTask &task) const
{
    const auto shares = m_shares.find(task.pool);
    const bool isAbove = shares != m_shares.end() && shares->second.isAbove(task.workspace);
    return isAbove ? ShareMark::Above : ShareMark::Within;
}

/*! @brief Returns whether tasks of a queue are late, or new ones would wait for half of the shortest objective. */
bool StageScheduler::isScarce(const Pool &pool, const StageQueue &queue, TimePoint now)
{
    if (!queue.empty() && std::get<bool>(*queue.rbegin())) {
        return true;
    }
    Duration shortest = Duration::max();
    std::size_t pieces = 0;
    for (const QueueKey &key : queue) {
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(key));
        pieces += pending.waitingPieces.size();
        if (pending.task.objective > Duration::zero()) {
            shortest = std::min(shortest, pending.task.objective);
        }
    }
    return shortest != Duration::max()
        && drainRate(pool, m_endpoints.usable(pool.name, now), now).waitBehind(pieces) > shortest / 2;
}

/*
 * Puts the tasks of workspaces that received more than their share of a scarce pool behind those of the others. In the
 * order of latest starts alone, a workspace receives what it requests at the expense of all others.
 */
void StageScheduler::markShares(const Pool &pool, StageQueue &queue, TimePoint now, Effects &effects)
{
    sharing::FairShares *shares = sharesOf(pool.name);
    if (shares == nullptr) {
        if (m_shares.erase(pool.name) != 0) {
            applyShareMarks(queue);
            effects.emplace_back(Observe{Metric::WorkspacesAboveShare, {pool.name.text()}, 0.0});
        }
        return;
    }
    sharing::FairShares::PieceCounts waiting;
    for (const QueueKey &key : queue) {
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(key));
        waiting[pending.task.workspace] += static_cast<double>(pending.waitingPieces.size());
    }
    const std::vector<sharing::ShareChange> changes = shares->update(waiting, isScarce(pool, queue, now), now);
    if (changes.empty()) {
        return;
    }
    applyShareMarks(queue);
    for (const sharing::ShareChange &change : changes) {
        effects.emplace_back(LogLine{Severity::Info,
                                     Part::Entry,
                                     change.isAbove ? "Workspace is above its share of a stage pool."
                                                    : "Workspace is within its share of a stage pool again.",
                                     {{"workspace", change.workspace.text()}, {"pool", pool.name.text()}}});
    }
    effects.emplace_back(
        Observe{Metric::WorkspacesAboveShare, {pool.name.text()}, static_cast<double>(shares->aboveCount())});
}

/*! @brief Moves the queued tasks whose mark has changed; the key by which they are found contains the mark. */
void StageScheduler::applyShareMarks(StageQueue &queue)
{
    std::vector<StageTaskId> changed;
    for (const QueueKey &key : queue) {
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(key));
        if (pending.share != shareMark(pending.task)) {
            changed.push_back(pending.task.id);
        }
    }
    for (const StageTaskId task : changed) {
        PendingTask &pending = m_tasks.at(task);
        queue.erase(queueKey(pending));
        pending.share = shareMark(pending.task);
        queue.insert(queueKey(pending));
    }
}

/*
 * Moves tasks that cannot start in time behind all that can. Otherwise a backlog of late tasks would delay the tasks
 * behind it until they are late as well.
 */
void StageScheduler::markLate(const Pool &pool, StageQueue &queue, TimePoint now)
{
    const DrainRate rate = drainRate(pool, m_endpoints.usable(pool.name, now), now);
    std::size_t ahead = 0;
    std::vector<StageTaskId> late;
    for (const QueueKey &key : queue) {
        if (std::get<bool>(key)) {
            break;
        }
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(key));
        if (now + rate.waitBehind(ahead) > pending.task.latestStart + lateTolerance) {
            late.push_back(pending.task.id);
            continue;
        }
        ahead += pending.waitingPieces.size();
    }
    for (const StageTaskId task : late) {
        PendingTask &pending = m_tasks.at(task);
        queue.erase(queueKey(pending));
        pending.isLate = true;
        pending.lateSince = now;
        queue.insert(queueKey(pending));
    }
    dropHopelessTasks(pool, queue, rate, ahead, now);
}

/*
 * Late tasks get only the capacity that is left over. Those that would exceed their maximum wait or their deadline fail
 * at once, so that their callers can retry instead of waiting in vain.
 */
void StageScheduler::dropHopelessTasks(const Pool &pool, const StageQueue &queue, const DrainRate &rate,
                                       std::size_t ahead, TimePoint now)
{
    std::vector<StageTaskId> dropped;
    for (const QueueKey &key : queue) {
        if (!std::get<bool>(key)) {
            continue;
        }
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(key));
        const Duration wait = std::max(rate.waitBehind(ahead), now - pending.lateSince);
        const bool inCall = pending.waitingPieces.size() < pending.unfinishedPieces;
        if (!inCall && (wait > maxLateWait || now + wait + expectedCallTime(*pool.batch, 1) > pending.task.deadline)) {
            dropped.push_back(pending.task.id);
            continue;
        }
        ahead += pending.waitingPieces.size();
    }
    for (const StageTaskId task : dropped) {
        fail(m_tasks.at(task), PieceFailure::Late);
    }
}

Duration StageScheduler::remainingCallTime(const PoolName &pool, TimePoint now) const
{
    Duration remaining{};
    for (const auto &[number, call] : m_calls) {
        if (call.pool == pool) {
            remaining += std::max(Duration::zero(), call.startedAt + call.expectedDuration - now);
        }
    }
    return remaining;
}

DrainRate StageScheduler::drainRate(const Pool &pool, const std::vector<Endpoint *> &usable, TimePoint now)
{
    return {*pool.batch,
            usable,
            m_endpoints.loads(),
            remainingCallTime(pool.name, now),
            m_loads[pool.name].backlogItemsPerCall(*pool.batch),
            now};
}

void StageScheduler::dispatchPool(const Pool &pool, StageQueue &queue, TimePoint now, Effects &effects)
{
    markShares(pool, queue, now, effects);
    markLate(pool, queue, now);
    while (!queue.empty()) {
        auto planned = m_planner.nextCall(pool, queue, now);
        if (!planned) {
            return;
        }
        m_loads[pool.name].recordCall(*pool.batch, planned->items.size(), countWaitingPieces(queue, m_tasks));
        sendCall(pool, *planned->endpoint, std::move(planned->items), queue, now, effects);
    }
}

void StageScheduler::sendCall(const Pool &pool, Endpoint &endpoint, std::vector<CallItem> items, StageQueue &queue,
                              TimePoint now, Effects &effects)
{
    StartStageCall start;
    start.call = StageCallNumber{m_nextCall++};
    start.instance = endpoint.record.instance;
    start.address = endpoint.record.address;
    sharing::FairShares *shares = sharesOf(pool.name);
    for (const CallItem &item : items) {
        PendingTask &pending = m_tasks.at(item.task);
        const StageTask &task = pending.task;
        if (shares != nullptr) {
            shares->recordSent(task.workspace, 1, now);
        }
        const Duration timeLeft = task.deadline - now;
        start.items.push_back(
            {task.attempt, task.stage, item.piece, timeLeft, task.inputKey, resultHandles(task.inputs)});
        start.deadline = std::max(start.deadline, timeLeft);
        std::erase(pending.waitingPieces, item.piece);
        if (pending.waitingPieces.empty()) {
            queue.erase(queueKey(pending));
            if (now - endpoint.exclusiveAt < exclusivityTtl) {
                pending.inputsFetchedAt = now + fetchTime(*pool.batch, task) * fetchTimeFactor + fetchAllowance;
                m_fetchEstimates.emplace(*pending.inputsFetchedAt, task.id);
            }
        }
        endpoint.resultBytes += item.bytes;
    }
    Call call;
    call.pool = pool.name;
    call.endpoint = start.instance;
    call.incarnation = endpoint.record.incarnation;
    call.address = start.address;
    call.startedAt = now;
    const Duration usualDuration = expectedCallTime(*pool.batch, items.size());
    const double pace = paceOfCall(m_endpoints.loads(), endpoint, *pool.batch, now);
    call.expectedDuration = scaled(usualDuration, pace);
    call.resultTtl = pool.batch->resultTtl;
    call.resultMemory = pool.batch->resultMemory;
    call.timeoutAt = now + std::max(call.expectedDuration, usualDuration) * callTimeoutFactor + callTimeoutAllowance;
    call.items = std::move(items);
    effects.emplace_back(LogLine{Severity::Info,
                                 Part::Entry,
                                 "Stage call sent.",
                                 {{"call", absl::StrCat(static_cast<std::uint64_t>(start.call))},
                                  {"pool", pool.name.text()},
                                  {"endpoint", call.endpoint.text()},
                                  {"items", absl::StrCat(call.items.size())},
                                  {"requests", joinAttempts(start)},
                                  {"waiting_tasks", absl::StrCat(queue.size())},
                                  {"result_bytes", absl::StrCat(endpoint.resultBytes)},
                                  {"pace", absl::StrCat(pace)},
                                  {"slowness", absl::StrCat(currentSlowness(endpoint, now))}}});
    effects.emplace_back(Observe{Metric::StageCallItems, {pool.name.text()}, static_cast<double>(call.items.size())});
    m_endpoints.recordStart(call.endpoint);
    RateLimiter::recordSent(endpoint, now);
    m_callTimeouts.emplace(call.timeoutAt, start.call);
    m_calls.emplace(start.call, std::move(call));
    effects.emplace_back(std::move(start));
}

void StageScheduler::handleCallEnded(const StageCallEnded &event, TimePoint now, Effects &effects)
{
    const auto node = m_calls.extract(event.call);
    if (node.empty()) {
        return;
    }
    const Call &call = node.mapped();
    m_callTimeouts.erase({call.timeoutAt, event.call});
    m_scans[call.pool].isRequested = true;
    const bool isCurrent = m_endpoints.isCurrent(call.endpoint, call.incarnation);
    if (isCurrent && (event.status == StageCallStatus::Answered || event.status == StageCallStatus::Rejected)) {
        m_endpoints.recordAnswer(call.endpoint, now);
    }
    if (event.status != StageCallStatus::Answered || event.results.size() != call.items.size()) {
        const bool rejected = event.status == StageCallStatus::Rejected;
        const EndpointOutcome outcome = rejected             ? EndpointOutcome::Rejected
            : event.status == StageCallStatus::ConnectFailed ? EndpointOutcome::ConnectFailed
                                                             : EndpointOutcome::Failed;
        m_endpoints.recordEnd(call.endpoint, isCurrent ? std::optional{outcome} : std::nullopt, now, effects);
        const bool isBroken = event.status == StageCallStatus::Broken;
        if (isCurrent && (rejected || isBroken)) {
            m_endpoints.pause(call.endpoint, now + rejectionPause);
        }
        if (isBroken) {
            countBrokenCall(call);
        }
        retryItems(call, !rejected, now, effects);
        return;
    }
    if (isCurrent) {
        recordDuration(call, now);
    }
    m_endpoints.recordEnd(call.endpoint, isCurrent ? std::optional{EndpointOutcome::Succeeded} : std::nullopt, now,
                          effects);
    if (isCurrent) {
        updateExclusivity(call, event.load, now);
    }
    std::vector<std::string> unclaimedHandles;
    std::map<StageTaskId, std::vector<CallItem>> unreachable;
    bool isMemoryFull = false;
    logFailures(event, call, effects);
    recordFetches(event, call, now);
    for (std::size_t index = 0; index < call.items.size(); ++index) {
        const CallItem &item = call.items[index];
        const PieceResult &result = event.results[index];
        const auto found = m_tasks.find(item.task);
        if (found == m_tasks.end()) {
            m_resultMemory.releaseReservation(reservationOf(call, item));
            if (!result.handle.empty()) {
                unclaimedHandles.push_back(result.handle);
            }
            continue;
        }
        if (result.handle.empty()) {
            m_resultMemory.releaseReservation(reservationOf(call, item));
            if (result.failure == PieceFailure::InputMissing && areInputsUnreachable(found->second, call, now)) {
                unreachable[item.task].push_back(item);
            } else if (result.failure == PieceFailure::Late || result.failure == PieceFailure::InputMissing) {
                fail(found->second, result.failure);
            } else {
                if (isCurrent && result.failure == PieceFailure::InsufficientMemory) {
                    m_endpoints.pause(call.endpoint, now + memoryFullPause);
                    isMemoryFull = true;
                }
                requeue(item, result.failure != PieceFailure::InsufficientMemory);
            }
            continue;
        }
        m_resultMemory.add(result.handle, reservationOf(call, item), now + call.resultTtl);
        m_outcomes.push_back({item.task, item.piece, result, call.endpoint, call.address});
        if (--found->second.unfinishedPieces == 0) {
            releaseInputs(found->second);
            m_tasks.erase(found);
        }
    }
    requeueUnreachable(unreachable, call, now);
    if (isMemoryFull) {
        accountForUnknownResults(call, now, effects);
    }
    if (!unclaimedHandles.empty()) {
        effects.emplace_back(ReleaseResults{call.endpoint, call.address, std::move(unclaimedHandles)});
    }
}

/*
 * An endpoint without memory where known results leave some stores results of an owner of the queue that died with all
 * that knew of them. Until these expire, calls would be made in vain: 307 pieces in the two seconds after a loss of
 * power.
 */
void StageScheduler::accountForUnknownResults(const Call &call, TimePoint now, Effects &effects)
{
    const Endpoint *endpoint = m_endpoints.find(call.endpoint);
    if (endpoint == nullptr || endpoint->record.incarnation != call.incarnation) {
        return;
    }
    std::uint64_t largest = 0;
    for (const CallItem &item : call.items) {
        largest = std::max(largest, item.bytes);
    }
    // Room for one result is left, so that the endpoint is used as soon as its memory is free.
    const std::uint64_t known = endpoint->usedResultBytes() + largest;
    if (known >= call.resultMemory) {
        return;
    }
    const std::uint64_t bytes = call.resultMemory - known;
    const TimePoint expiry = endpoint->sendingSince + call.resultTtl;
    if (expiry <= now) {
        return;
    }
    m_resultMemory.addUnknown({call.endpoint, call.incarnation, bytes}, now, expiry);
    effects.emplace_back(LogLine{Severity::Info,
                                 Part::Entry,
                                 "Endpoint stores results of an unknown scheduler.",
                                 {{"endpoint", call.endpoint.text()},
                                  {"pool", call.pool.text()},
                                  {"bytes", absl::StrCat(bytes)},
                                  {"expire_ms", absl::StrCat((expiry - now).count() / 1000)}}});
}

/*! @brief Records between which zones the inputs of a call could be fetched. */
void StageScheduler::recordFetches(const StageCallEnded &event, const Call &call, TimePoint now)
{
    const Endpoint *endpoint = m_endpoints.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    for (std::size_t index = 0; index < call.items.size(); ++index) {
        const auto found = m_tasks.find(call.items[index].task);
        const PieceResult &result = event.results[index];
        const bool isFetched = !result.handle.empty();
        if (found != m_tasks.end() && (isFetched || result.failure == PieceFailure::InputMissing)) {
            m_paths.record(found->second.inputZones, endpoint->record.zone, isFetched, now);
        }
    }
}

/*
 * During a partition between zones, inputs that one endpoint reports as missing can still be fetched by endpoints of
 * other zones. Retrying the pieces there avoids repeating all earlier stages; in a day with two one-way cuts 3,303
 * pieces had theirs repeated, 128 s of the endpoints' time.
 */
bool StageScheduler::areInputsUnreachable(const PendingTask &pending, const Call &call, TimePoint now)
{
    const Endpoint *endpoint = m_endpoints.find(call.endpoint);
    return endpoint != nullptr && !pending.inputsReleased
        && m_paths.isBroken(pending.inputZones, endpoint->record.zone, now);
}

/*! @brief Requeues pieces whose inputs were unreachable for their endpoint, as far as the retry budget allows. */
void StageScheduler::requeueUnreachable(const std::map<StageTaskId, std::vector<CallItem>> &unreachable,
                                        const Call &call, TimePoint now)
{
    for (const auto &[task, items] : unreachable) {
        const auto found = m_tasks.find(task);
        if (found == m_tasks.end()) {
            continue;
        }
        if (!m_budget.tryTakeRetry(call.pool, now, RetryShare::QueueOwner)) {
            fail(found->second, PieceFailure::InputMissing);
            continue;
        }
        for (const CallItem &item : items) {
            requeue(item, true);
        }
    }
}

/*! @brief Records whether only this scheduler uses an endpoint, from the load that it reported with an answer. */
void StageScheduler::updateExclusivity(const Call &call, const std::optional<EndpointLoad> &load, TimePoint now)
{
    Endpoint *endpoint = m_endpoints.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    const bool isShared = load && load->running + load->waiting > endpoint->inFlight;
    endpoint->exclusiveAt = isShared ? TimePoint{} : now;
}

MemoryReservation StageScheduler::reservationOf(const Call &call, const CallItem &item)
{
    return {call.endpoint, call.incarnation, item.bytes};
}

void StageScheduler::logFailures(const StageCallEnded &event, const Call &call, Effects &effects)
{
    std::map<PieceFailure, std::size_t> failures;
    for (const PieceResult &result : event.results) {
        if (result.handle.empty()) {
            ++failures[result.failure];
        }
    }
    for (const auto &[failure, pieces] : failures) {
        effects.emplace_back(LogLine{Severity::Warning,
                                     Part::Entry,
                                     "Stage call returned no results for some pieces.",
                                     {{"call", absl::StrCat(static_cast<std::uint64_t>(event.call))},
                                      {"endpoint", call.endpoint.text()},
                                      {"pool", call.pool.text()},
                                      {"reason", std::string{enumName(failure)}},
                                      {"pieces", absl::StrCat(pieces)}}});
    }
}

void StageScheduler::countBrokenCall(const Call &call)
{
    std::set<StageTaskId> tasks;
    for (const CallItem &item : call.items) {
        const auto pending = m_tasks.find(item.task);
        if (pending != m_tasks.end() && tasks.insert(item.task).second) {
            ++pending->second.brokenCalls;
        }
    }
}

std::optional<EndpointWork> StageScheduler::workOf(StageCallNumber call) const
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    EndpointWork work{
        found->second.pool, found->second.endpoint, found->second.startedAt, {}, found->second.incarnation};
    for (const CallItem &item : found->second.items) {
        if (const auto pending = m_tasks.find(item.task); pending != m_tasks.end()) {
            work.suspects.requests.insert(pending->second.task.fingerprint);
        }
    }
    return work;
}

void StageScheduler::retryItems(const Call &call, bool failed, TimePoint now, Effects &effects)
{
    std::set<StageTaskId> notRetried;
    std::set<StageTaskId> charged;
    for (const CallItem &item : call.items) {
        if (failed) {
            m_resultMemory.addLost(reservationOf(call, item), now + call.resultTtl);
        } else {
            m_resultMemory.releaseReservation(reservationOf(call, item));
        }
        if (!m_tasks.contains(item.task)) {
            continue;
        }
        if (charged.insert(item.task).second && !m_budget.tryTakeRetry(call.pool, now, RetryShare::QueueOwner)) {
            notRetried.insert(item.task);
        }
        if (!notRetried.contains(item.task)) {
            requeue(item, failed);
        }
    }
    for (const StageTaskId task : notRetried) {
        const auto found = m_tasks.find(task);
        if (found == m_tasks.end()) {
            continue;
        }
        effects.emplace_back(LogLine{Severity::Info,
                                     Part::Entry,
                                     "Stage not retried: retry budget exhausted.",
                                     {{"request", found->second.task.attempt}, {"pool", call.pool.text()}}});
        fail(found->second, PieceFailure::Error);
    }
}

void StageScheduler::requeue(const CallItem &item, bool failed)
{
    const auto found = m_tasks.find(item.task);
    if (found == m_tasks.end()) {
        return;
    }
    PendingTask &pending = found->second;
    pending.failures += failed ? 1 : 0;
    if (pending.failures > maxFailuresPerPiece * pending.task.pieces) {
        fail(pending, PieceFailure::Error);
        return;
    }
    if (pending.inputsReleased && !pending.task.inputs.empty()) {
        fail(pending, PieceFailure::InputMissing);
        return;
    }
    pending.inputsFetchedAt.reset();
    if (pending.waitingPieces.empty()) {
        // It is not in the queue, so that its mark may change.
        pending.share = shareMark(pending.task);
    }
    pending.waitingPieces.push_back(item.piece);
    m_queues[pending.task.pool].insert(queueKey(pending));
    m_scans[pending.task.pool].isRequested = true;
}

void StageScheduler::fail(PendingTask &pending, PieceFailure failure)
{
    const StageTaskId id = pending.task.id;
    m_queues[pending.task.pool].erase(queueKey(pending));
    m_outcomes.push_back({id, 0, PieceResult{{}, failure}, {}, {}});
    m_tasks.erase(id);
}

/*
 * Where result memory is scarce, inputs are released once they are expected to be fetched, not when the call ends. If
 * the call fails after that, the request has to start again from its first stage.
 */
void StageScheduler::releaseFetchedInputs(TimePoint now)
{
    while (!m_fetchEstimates.empty() && m_fetchEstimates.begin()->first <= now) {
        const auto [estimate, task] = *m_fetchEstimates.begin();
        m_fetchEstimates.erase(m_fetchEstimates.begin());
        const auto found = m_tasks.find(task);
        if (found == m_tasks.end() || found->second.inputsFetchedAt != estimate) {
            continue;
        }
        found->second.inputsFetchedAt.reset();
        if (shouldReleaseEarly(found->second)) {
            releaseInputs(found->second);
        }
    }
}

bool StageScheduler::shouldReleaseEarly(const PendingTask &pending) const
{
    const std::vector<StoredResult> &inputs = pending.task.inputs;
    return std::any_of(inputs.begin(), inputs.end(), m_isMemoryScarce);
}

void StageScheduler::releaseInputs(PendingTask &pending)
{
    if (std::exchange(pending.inputsReleased, true)) {
        return;
    }
    const std::vector<StoredResult> &inputs = pending.task.inputs;
    m_releasedInputs.insert(m_releasedInputs.end(), inputs.begin(), inputs.end());
}

std::vector<StoredResult> StageScheduler::takeReleasableInputs()
{
    return std::exchange(m_releasedInputs, {});
}

void StageScheduler::handleTimeouts(TimePoint now, Effects &effects)
{
    m_resultMemory.removeExpired(now);
    releaseFetchedInputs(now);
    while (!m_callTimeouts.empty() && m_callTimeouts.begin()->first <= now) {
        const StageCallNumber number = m_callTimeouts.begin()->second;
        m_callTimeouts.erase(m_callTimeouts.begin());
        const Call call = std::move(m_calls.extract(number).mapped());
        effects.emplace_back(CancelStageCall{number});
        effects.emplace_back(LogLine{Severity::Warning,
                                     Part::Entry,
                                     "Stage call timed out.",
                                     {{"endpoint", call.endpoint.text()},
                                      {"pool", call.pool.text()},
                                      {"expected_ms", absl::StrCat(call.expectedDuration.count() / 1000)},
                                      {"items", absl::StrCat(call.items.size())}}});
        if (m_endpoints.isCurrent(call.endpoint, call.incarnation)) {
            recordDuration(call, now);
            // An endpoint that has not answered since the call was sent is likely unreachable; further calls would time
            // out as well.
            m_endpoints.recordTimeout(call.endpoint, call.startedAt, now, effects);
        }
        m_endpoints.recordEnd(call.endpoint, std::nullopt, now, effects);
        retryItems(call, true, now, effects);
    }
}

void StageScheduler::extendTimeouts(Duration lateness, TimePoint now)
{
    m_callTimeouts.clear();
    for (auto &[number, call] : m_calls) {
        call.timeoutAt += std::min(lateness, now - call.startedAt);
        m_callTimeouts.emplace(call.timeoutAt, number);
    }
}

std::vector<StageOutcome> StageScheduler::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

void StageScheduler::handleReleased(const std::string &handle)
{
    m_resultMemory.remove(handle);
    requestScans();
}

std::vector<PoolWait> StageScheduler::queueWaits(const Catalog &catalog, TimePoint now)
{
    std::vector<PoolWait> out;
    for (const auto &[pool, queue] : m_queues) {
        std::set<int> ranks{0};
        for (const QueueKey &key : queue) {
            ranks.insert(std::get<int>(key));
        }
        std::vector<PoolWait> poolWaits = expectedWaits(pool, {ranks.begin(), ranks.end()}, catalog, now);
        publishShares(pool, poolWaits);
        out.insert(out.end(), poolWaits.begin(), poolWaits.end());
    }
    return out;
}

/*! @brief Keeps the workspaces above their share in one entry: that of the most urgent rank at which they wait. */
void StageScheduler::publishShares(const PoolName &pool, std::vector<PoolWait> &waits) const
{
    const auto shares = m_shares.find(pool);
    if (waits.empty() || shares == m_shares.end()) {
        return;
    }
    const std::map<int, WaitingPieces> pieces = waitingByRank(pool);
    const auto isWaiting = [&pieces](const PoolWait &wait) {
        const auto found = pieces.find(wait.rank);
        return found != pieces.end() && found->second.aboveShare != 0;
    };
    const auto first = std::ranges::find_if(waits, isWaiting);
    PoolWait &chosen = first == waits.end() ? waits.front() : *first;
    chosen.aboveShare = shares->second.published();
}

std::optional<PoolWait> StageScheduler::expectedWait(const PoolName &pool, int rank, const WorkspaceName &workspace,
                                                     const Catalog &catalog, TimePoint now)
{
    std::vector<PoolWait> estimates = expectedWaits(pool, {rank}, catalog, now);
    if (estimates.empty()) {
        return std::nullopt;
    }
    const auto shares = m_shares.find(pool);
    if (shares != m_shares.end() && shares->second.isAbove(workspace)) {
        estimates.front().wait = std::max(estimates.front().wait, estimates.front().aboveShareWait);
    }
    return estimates.front();
}

std::vector<PoolWait> StageScheduler::expectedWaits(const PoolName &pool, const std::vector<int> &ranks,
                                                    const Catalog &catalog, TimePoint now)
{
    const Pool *spec = catalog.findPool(pool);
    const std::vector<Endpoint *> usable = m_endpoints.usable(pool, now);
    if (spec == nullptr || !spec->batch || usable.empty()) {
        return {};
    }
    const DrainRate rate = drainRate(*spec, usable, now);
    const double memoryInUse = memoryUsage(*spec->batch, usable);
    const std::map<int, WaitingPieces> pieces = waitingByRank(pool);
    const PoolLoad &load = m_loads[pool];
    const auto shares = m_shares.find(pool);
    const bool hasAboveShare = hasWorkspacesAboveShare(pool);
    const double secondsPerPiece = std::chrono::duration<double>(rate.timePerPiece()).count();
    // More urgent work that arrives during the wait is served first as well.
    const auto waitBehind = [&rate, secondsPerPiece](std::size_t ahead, double urgentPerSecond) {
        const double urgent = std::min(urgentPerSecond * secondsPerPiece, maxUrgentShare);
        return scaled(rate.waitBehind(ahead), 1.0 / (1.0 - urgent));
    };
    std::vector<PoolWait> out;
    for (const int rank : ranks) {
        std::size_t ahead = 0;
        std::size_t ofRankAbove = 0;
        for (const auto &[other, waiting] : pieces) {
            ahead += other <= rank ? waiting.withinShare : 0;
            ahead += other < rank ? waiting.aboveShare : 0;
            ofRankAbove += other == rank ? waiting.aboveShare : 0;
        }
        const double urgent = load.moreUrgentArrivalRate(rank, now);
        out.push_back({pool, rank, waitBehind(ahead, urgent), rate.timePerPiece(), load.itemsPerCall(), memoryInUse});
        if (hasAboveShare) {
            const double within = load.arrivalRate(rank, now) * shares->second.requestedFractionWithin();
            out.back().aboveShareWait = waitBehind(ahead + ofRankAbove, urgent + within);
        }
    }
    return out;
}

/*! @brief Returns the waiting pieces of tasks that are not late, by rank. */
std::map<int, StageScheduler::WaitingPieces> StageScheduler::waitingByRank(const PoolName &pool) const
{
    std::map<int, WaitingPieces> out;
    const auto queue = m_queues.find(pool);
    if (queue == m_queues.end()) {
        return out;
    }
    for (const QueueKey &key : queue->second) {
        if (std::get<bool>(key)) {
            break;
        }
        const std::size_t pieces = m_tasks.at(std::get<StageTaskId>(key)).waitingPieces.size();
        WaitingPieces &waiting = out[std::get<int>(key)];
        (std::get<ShareMark>(key) == ShareMark::Above ? waiting.aboveShare : waiting.withinShare) += pieces;
    }
    return out;
}

std::vector<PoolName> StageScheduler::queuedPools() const
{
    std::vector<PoolName> out;
    for (const auto &[pool, queue] : m_queues) {
        if (!queue.empty()) {
            out.push_back(pool);
        }
    }
    return out;
}

std::optional<TimePoint> StageScheduler::nextWakeup() const
{
    std::optional<TimePoint> first;
    const auto wake = [&first](TimePoint due) {
        first = first ? std::min(*first, due) : due;
    };
    if (!m_callTimeouts.empty()) {
        wake(m_callTimeouts.begin()->first);
    }
    if (!m_fetchEstimates.empty()) {
        wake(m_fetchEstimates.begin()->first);
    }
    for (const auto &[pool, scan] : m_scans) {
        if (scan.zoneWaitEnds && !m_queues.at(pool).empty()) {
            wake(*scan.zoneWaitEnds);
        }
    }
    return first;
}

std::size_t StageScheduler::scanCount() const noexcept
{
    return m_scanCount;
}

void StageScheduler::recordDuration(const Call &call, TimePoint now)
{
    Endpoint *endpoint = m_endpoints.find(call.endpoint);
    if (endpoint == nullptr || call.expectedDuration <= Duration::zero()) {
        return;
    }
    const double ratio =
        static_cast<double>((now - call.startedAt).count()) / static_cast<double>(call.expectedDuration.count());
    serving::updateSlowness(*endpoint, ratio, now);
}

} // namespace bergamottide::serving
