#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief First identifier of the tasks of peers, in a range apart from this process's own. */
constexpr std::uint64_t firstPeerTaskId = 1ULL << 63U;
/*! @brief Delay before a former owner hands over its tasks: two heartbeats, so that all peers know the change. */
constexpr Duration handOverDelay = heartbeatPeriod * 2;

} // namespace

/*
 * One process owns the queue of a stage pool for the whole fleet. With a queue in each process, calls would be poorly
 * batched and would collide at endpoints that accept one call at a time.
 */
void ServingReducer::submitTask(StageTask task)
{
    if (!m_peers.isDiscoveryFinished(m_now)) {
        m_deferredTasks.emplace(task.id, std::move(task));
        return;
    }
    const auto owner = m_peers.queueOwner(task.pool, m_now);
    task.requester = m_peers.self().instance;
    task.heldResults =
        resultsOfOtherSchedulers(task.pool, owner ? m_peers.incarnationOf(owner->instance) : m_incarnation);
    if (!owner) {
        m_stageScheduler.submit(std::move(task), m_now);
        return;
    }
    m_delegatedTasks[task.id] = {owner->instance, task};
    m_effects.emplace_back(DelegateTask{*owner, std::move(task)});
}

/*
 * Tasks are deferred during initial discovery. When a whole fleet starts, each process would otherwise act as the
 * owner of every queue, and colliding calls would exhaust the retry budget: with 26 processes within 0.3 s, and 138
 * requests failed in the two seconds after a loss of power.
 */
void ServingReducer::submitDeferredTasks()
{
    if (m_deferredTasks.empty() || !m_peers.isDiscoveryFinished(m_now)) {
        return;
    }
    for (auto &[id, task] : std::exchange(m_deferredTasks, {})) {
        submitTask(std::move(task));
    }
}

/*
 * Results that a former queue owner had computed still occupy endpoint memory. Its successor has to account for them;
 * otherwise endpoints without free memory would drop the results of its calls.
 */
std::vector<ResultMemoryUsage> ServingReducer::resultsOfOtherSchedulers(const PoolName &pool,
                                                                        std::uint64_t scheduler) const
{
    std::map<InstanceName, std::uint64_t> bytes;
    for (const auto &[call, request] : m_requests) {
        for (const StageProgress &stage : request.stages) {
            if (stage.pool != pool || stage.isReleased) {
                continue;
            }
            for (const StoredResult &result : stage.results) {
                if (!result.handle.empty() && result.schedulerIncarnation != scheduler) {
                    bytes[result.endpoint] += result.bytes;
                }
            }
        }
    }
    std::vector<ResultMemoryUsage> out;
    out.reserve(bytes.size());
    for (const auto &[endpoint, sum] : bytes) {
        out.push_back({endpoint, sum});
    }
    return out;
}

void ServingReducer::on(const DelegatedTaskEnded &event)
{
    const auto found = m_delegatedTasks.find(event.task);
    if (found == m_delegatedTasks.end() || found->second.first != event.peer) {
        return;
    }
    StageTask task = std::move(found->second.second);
    m_delegatedTasks.erase(found);
    if (event.isReturned && !isQueueOwner(event.peer, task.pool)) {
        submitTask(std::move(task));
        return;
    }
    if (event.outcomes.empty()) {
        m_peers.markUnreachable(event.peer, m_now);
        m_effects.emplace_back(
            LogLine{Severity::Warning,
                    Part::Membership,
                    "Queue owner does not respond; its task is rescheduled.",
                    {{"peer", event.peer.text()}, {"pool", task.pool.text()}, {"request", task.attempt}}});
        submitTask(std::move(task));
        return;
    }
    for (const StageOutcome &outcome : event.outcomes) {
        handleStageOutcome(outcome, m_peers.incarnationOf(event.peer));
    }
}

/*! @brief Returns whether a peer owns the queue of a pool in this process's membership. */
bool ServingReducer::isQueueOwner(const InstanceName &peer, const PoolName &pool) const
{
    const auto owner = m_peers.queueOwner(pool, m_now);
    return owner && owner->instance == peer;
}

void ServingReducer::reclaimTasksOfLostPeers()
{
    std::vector<StageTask> lost;
    for (const auto &[id, handed] : m_delegatedTasks) {
        if (!m_peers.isLive(handed.first, m_now)) {
            lost.push_back(handed.second);
        }
    }
    for (StageTask &task : lost) {
        m_delegatedTasks.erase(task.id);
        m_effects.emplace_back(CancelDelegatedTask{task.id});
        submitTask(std::move(task));
    }
}

/*
 * Moves the tasks of the selected pools that are not part of a call to the current queue owner. Otherwise both owners
 * would fill the memory and the queues of the same endpoints without knowing of each other.
 */
void ServingReducer::handOverQueues(const std::function<bool(const PoolName &pool)> &isTakenOver)
{
    for (StageTask &task : m_stageScheduler.takeUnstarted(isTakenOver)) {
        const auto peer = m_peerTasks.find(task.id);
        if (peer == m_peerTasks.end()) {
            submitTask(std::move(task));
            continue;
        }
        m_peerTaskIds.erase(peer->second.number);
        m_effects.emplace_back(CompletePeerTask{peer->second.number, {}});
        m_peerTasks.erase(peer);
    }
}

/*
 * A returning owner gets all new tasks at once, while its substitute still has a backlog. The substitute hands the
 * backlog over after a delay, once all peers know of the change.
 */
void ServingReducer::handOverFormerQueues()
{
    std::set<PoolName> takenOver;
    for (const PoolName &pool : m_stageScheduler.queuedPools()) {
        if (!m_peers.queueOwner(pool, m_now)) {
            m_formerQueues.erase(pool);
            continue;
        }
        const TimePoint since = m_formerQueues.try_emplace(pool, m_now).first->second;
        if (m_now - since >= handOverDelay) {
            takenOver.insert(pool);
        }
    }
    if (!takenOver.empty()) {
        handOverQueues([&takenOver](const PoolName &pool) { return takenOver.contains(pool); });
    }
}

void ServingReducer::on(const PeerTaskArrived &event)
{
    if (!canServe()) {
        m_effects.emplace_back(CompletePeerTask{event.number, {}});
        return;
    }
    StageTask task = event.task;
    task.id = StageTaskId{firstPeerTaskId + m_nextTask++};
    m_peerTasks[task.id] = {event.number, task.pieces, {}};
    m_peerTaskIds[event.number] = task.id;
    m_stageScheduler.submit(std::move(task), m_now);
}

void ServingReducer::handlePeerTaskOutcome(StageTaskId id, const StageOutcome &outcome)
{
    PeerTask &task = m_peerTasks.at(id);
    task.outcomes.push_back(outcome);
    const bool failed = outcome.result.handle.empty();
    if (!failed && task.outcomes.size() < task.pieces) {
        return;
    }
    m_peerTaskIds.erase(task.number);
    m_effects.emplace_back(CompletePeerTask{task.number, std::move(task.outcomes)});
    m_peerTasks.erase(id);
}

void ServingReducer::on(const PeerTaskCancelled &event)
{
    const auto found = m_peerTaskIds.find(event.number);
    if (found == m_peerTaskIds.end()) {
        return;
    }
    const StageTaskId task = found->second;
    m_stageScheduler.cancel(task);
    for (const StageOutcome &outcome : m_peerTasks[task].outcomes) {
        m_stageScheduler.handleReleased(outcome.result.handle);
        m_effects.emplace_back(ReleaseResults{outcome.endpoint, outcome.address, {outcome.result.handle}});
    }
    m_peerTasks.erase(task);
    m_peerTaskIds.erase(found);
}

void ServingReducer::on(const HeartbeatReceived &event)
{
    const std::size_t before = m_peers.liveCount(m_now);
    m_peers.handleHeartbeat(event.heartbeat, m_now);
    for (const engines::EngineReport &report : event.heartbeat.engines) {
        if (report.origin != m_peers.self().instance) {
            m_engineTable.applyReport(report, m_now);
        }
    }
    m_quarantine.merge(event.heartbeat.crashes, m_now);
    m_notices.merge(event.heartbeat.notices, m_now, m_effects);
    m_streamVersions.merge(event.heartbeat.streams, m_now);
    const std::size_t after = m_peers.liveCount(m_now);
    // A process that starts behind a partition has not heard the seeds on the other side.
    const std::size_t processes = std::max(after, m_peers.otherSeeds()) + 1;
    m_retryBudget.setProcessCount(static_cast<std::uint32_t>(processes), m_now);
    if (before != after) {
        m_effects.emplace_back(Observe{Metric::PeersLive, {}, static_cast<double>(after)});
        m_effects.emplace_back(
            LogLine{Severity::Info,
                    Part::Membership,
                    "Number of live peers has changed.",
                    {{"live", absl::StrCat(after)}, {"peer", event.heartbeat.from.instance.text()}}});
    }
}

void ServingReducer::on(const SettingsChanged &event)
{
    m_peers.addSeeds(event.seeds);
    m_quarantine.setReleased(event.releasedRequests, m_now);
    m_retryBudget.setOptions(event.retries);
}

void ServingReducer::on(const PeerReleasedResults &event)
{
    for (const std::string &handle : event.handles) {
        m_stageScheduler.handleReleased(handle);
    }
}

void ServingReducer::sendHeartbeats()
{
    m_nextHeartbeatAt = m_now + m_peers.heartbeatInterval();
    if (const auto age = m_listAge.age(m_now)) {
        m_effects.emplace_back(
            Observe{Metric::EndpointListAgeSeconds, {}, std::chrono::duration<double>(*age).count()});
    }
    m_quarantine.removeExpired(m_now);
    m_streamVersions.removeExpired(m_now);
    for (std::string &address : m_peers.takeDueAddresses(m_now)) {
        m_effects.emplace_back(SendHeartbeat{std::move(address)});
    }
}

std::optional<PoolEstimate> ServingReducer::poolEstimate(const PoolName &pool, int rank, const WorkspaceName &workspace)
{
    if (!m_endpoints.canServe(pool)) {
        return std::nullopt;
    }
    const auto owner = m_peers.queueOwner(pool, m_now);
    const auto wait = owner ? m_peers.reportedWait(owner->instance, pool, rank, workspace, m_now)
                            : m_stageScheduler.expectedWait(pool, rank, workspace, *m_catalog, m_now);
    PoolEstimate out;
    if (wait) {
        out.wait = wait->wait;
        out.timePerPiece = wait->timePerPiece;
        out.itemsPerCall = wait->itemsPerCall;
        out.usedMemoryShare = wait->usedMemoryShare;
    }
    std::uint64_t own = 0;
    for (const auto &[key, pieces] : ownUpcomingPieces()) {
        own += key.first == pool && key.second <= rank ? pieces : 0;
    }
    out.upcomingPieces = m_peers.upcomingPieces(pool, rank, own, m_now);
    return out;
}

/*! @brief Counts the pieces of own requests whose stage has not started, by pool and rank. */
std::map<std::pair<PoolName, int>, std::uint64_t> ServingReducer::ownUpcomingPieces() const
{
    std::map<std::pair<PoolName, int>, std::uint64_t> out;
    for (const auto &[call, request] : m_requests) {
        for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
            const StageProgress &progress = request.stages[stage];
            const bool isAhead = progress.startAt || request.route->stages[stage].level < request.level;
            if (isAhead && progress.pieces != 0) {
                out[{request.route->stages[stage].pool, request.rank}] += progress.pieces;
            }
        }
    }
    return out;
}

std::vector<PeerInfo> ServingReducer::livePeers(TimePoint now) const
{
    return m_peers.live(now);
}

bool ServingReducer::isFleetKnown(TimePoint now) const
{
    return m_peers.isDiscoveryFinished(now);
}

std::vector<std::string> ServingReducer::storeReaders(TimePoint now) const
{
    return m_peers.storeReaders(now);
}

Heartbeat ServingReducer::heartbeat(const std::string &to, TimePoint now)
{
    Heartbeat heartbeat;
    heartbeat.incarnation = m_incarnation;
    heartbeat.draining = m_draining;
    heartbeat.canOwnQueues = canServe();
    heartbeat.configVersion = m_catalog ? m_catalog->version : 0;
    if (m_catalog) {
        heartbeat.waits = m_stageScheduler.queueWaits(*m_catalog, now);
    }
    for (const auto &[key, pieces] : ownUpcomingPieces()) {
        heartbeat.upcoming.push_back({key.first, key.second, pieces});
    }
    heartbeat.engines.push_back(m_engineTable.nextReport(m_peers.self().instance, m_incarnation, now));
    heartbeat.gossipVersion = m_gossipClock.version();
    heartbeat.gossipSince = m_gossipClock.sendSince(m_peers.acknowledgedGossip(to, now));
    heartbeat.crashes = m_quarantine.reportsSince(heartbeat.gossipSince, now);
    heartbeat.notices = m_notices.reportsSince(heartbeat.gossipSince, now);
    heartbeat.streams = m_streamVersions.reportsSince(heartbeat.gossipSince, now);
    m_peers.fillHeartbeat(heartbeat, to, now);
    return heartbeat;
}

} // namespace bergamottide::serving
