#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Tasks of peers are numbered from here, apart from this process's own. */
constexpr std::uint64_t firstPeerTask = 1ULL << 63U;

} // namespace

/*
 * The queue of a stage pool is kept by one process for the whole fleet. Answers a load that nearly fills the pool:
 * calls filled by each process alone carry a fifth of what they could, and collide at endpoints that take one call at a
 * time.
 */
void ServingReducer::place(StageTask task)
{
    const auto keeper = m_peers.keeper(task.pool, m_now);
    if (!keeper) {
        m_stages.submit(std::move(task), m_now);
        return;
    }
    m_handed[task.id] = {keeper->instance, task};
    m_effects.emplace_back(HandTask{*keeper, std::move(task)});
}

void ServingReducer::on(const HandedTaskEnded &event)
{
    const auto found = m_handed.find(event.task);
    if (found == m_handed.end() || found->second.first != event.peer) {
        return;
    }
    StageTask task = std::move(found->second.second);
    m_handed.erase(found);
    if (event.outcomes.empty()) {
        m_peers.unreached(event.peer);
        m_effects.emplace_back(
            LogLine{Severity::Warning,
                    Part::Membership,
                    "A peer that keeps a queue does not answer.",
                    {{"peer", event.peer.text()}, {"pool", task.pool.text()}, {"request", task.attempt}}});
        place(std::move(task));
        return;
    }
    for (const StageOutcome &outcome : event.outcomes) {
        take(outcome);
    }
}

void ServingReducer::reclaimTasks()
{
    std::vector<StageTask> lost;
    for (const auto &[id, handed] : m_handed) {
        if (!m_peers.isLive(handed.first, m_now)) {
            lost.push_back(handed.second);
        }
    }
    for (StageTask &task : lost) {
        m_handed.erase(task.id);
        m_effects.emplace_back(RecallTask{task.id});
        place(std::move(task));
    }
}

void ServingReducer::on(const PeerTaskArrived &event)
{
    StageTask task = event.task;
    task.id = StageTaskId{firstPeerTask + m_nextTask++};
    m_peerTasks[task.id] = {event.number, task.pieces, {}};
    m_peerNumbers[event.number] = task.id;
    m_stages.submit(std::move(task), m_now);
}

void ServingReducer::takeForPeer(StageTaskId id, const StageOutcome &outcome)
{
    PeerTask &task = m_peerTasks.at(id);
    task.outcomes.push_back(outcome);
    const bool failed = outcome.result.handle.empty();
    if (!failed && task.outcomes.size() < task.pieces) {
        return;
    }
    m_peerNumbers.erase(task.number);
    m_effects.emplace_back(AnswerPeerTask{task.number, std::move(task.outcomes)});
    m_peerTasks.erase(id);
}

void ServingReducer::on(const PeerTaskGone &event)
{
    const auto found = m_peerNumbers.find(event.number);
    if (found == m_peerNumbers.end()) {
        return;
    }
    const StageTaskId task = found->second;
    m_stages.cancel(task);
    for (const StageOutcome &outcome : m_peerTasks[task].outcomes) {
        m_stages.released(outcome.result.handle);
        m_effects.emplace_back(FreeResults{outcome.address, {outcome.result.handle}});
    }
    m_peerTasks.erase(task);
    m_peerNumbers.erase(found);
}

void ServingReducer::on(const HeartbeatHeard &event)
{
    const auto before = m_peers.live(m_now).size();
    m_peers.heard(event.heartbeat, m_now);
    const auto after = m_peers.live(m_now).size();
    m_budget.setSharers(static_cast<std::uint32_t>(after + 1));
    if (before != after) {
        m_effects.emplace_back(Observe{Metric::PeersLive, {}, static_cast<double>(after)});
        m_effects.emplace_back(
            LogLine{Severity::Info,
                    Part::Membership,
                    "Peers have changed.",
                    {{"live", absl::StrCat(after)}, {"peer", event.heartbeat.from.instance.text()}}});
    }
}

void ServingReducer::on(const PeerReleased &event)
{
    for (const std::string &handle : event.handles) {
        m_stages.released(handle);
    }
}

void ServingReducer::sendHeartbeats()
{
    m_heartbeatAt = m_now + heartbeatPeriod;
    for (std::string &address : m_peers.due(m_now)) {
        m_effects.emplace_back(SendHeartbeat{std::move(address)});
    }
}

std::optional<Duration> ServingReducer::expectedWait(const PoolName &pool, int rank)
{
    const auto keeper = m_peers.keeper(pool, m_now);
    if (!keeper) {
        return m_stages.expectedWait(pool, rank, *m_catalog, m_now);
    }
    return m_peers.toldWait(keeper->instance, pool, rank).value_or(Duration::zero());
}

std::vector<PeerInfo> ServingReducer::livePeers(TimePoint now) const
{
    return m_peers.live(now);
}

Heartbeat ServingReducer::heartbeat(TimePoint now)
{
    Heartbeat heartbeat;
    heartbeat.from = m_peers.self();
    heartbeat.incarnation = m_incarnation;
    heartbeat.draining = m_draining;
    heartbeat.version = m_catalog ? m_catalog->version : 0;
    heartbeat.peers = m_peers.live(now);
    if (m_catalog) {
        heartbeat.waits = m_stages.waits(*m_catalog, now);
    }
    return heartbeat;
}

} // namespace bergamottide::serving
