#include "bergamottide/side/runreception.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Stages of requests whose attempts are remembered: 500 runs a second for over a minute, below 10 MB. */
constexpr std::size_t fenceLimit = 32768;
/**
 * @brief Time a repeatable run goes on with nobody connected who wants it.
 *
 * An entry opens a new stream within a second of the last progress; after twice that it is
 * taken for dead, and what its runs cost would be wasted.
 */
constexpr Duration abandonedGrace = std::chrono::seconds{2};

/**
 * @brief Time for which a draining side still takes the runs of serials that it gave out before.
 *
 * Their requests are in progress, and a planned stop shall cut off none; but an endpoint
 * that leaves shall get no new run two seconds after the first sign. Most requests come to
 * their last stage within this time; the others end incomplete, which is true.
 */
constexpr Duration drainGrace = std::chrono::milliseconds{1500};

} // namespace

RunReception::RunReception(SideContext &context, RunTable &runs, RunDelivery &delivery, RunScheduler &scheduler,
                           RequestHome &home)
    : m_context{context}
    , m_runs{runs}
    , m_delivery{delivery}
    , m_scheduler{scheduler}
    , m_home{home}
    , m_fence{fenceLimit}
{
}

void RunReception::onStart(const InstanceName &from, const StartRun &order)
{
    if (Run *known = m_runs.find(order.run)) {
        if (known->order.serial != order.serial) {
            m_context.out.observe(Metric::DroppedMessagesTotal, {"start_run"});
            return;
        }
        m_delivery.follow(*known, from, 0);
        return;
    }
    if (order.serial != noSerial) {
        m_home.onStart(from, order, refusal(from, order));
        return;
    }
    startRepeatable(from, order);
}

void RunReception::onCancel(const InstanceName &from, const CancelRun &message)
{
    Run *run = m_runs.find(message.run);
    if (run == nullptr && message.serial != noSerial) {
        m_home.onCancel(from, message);
        return;
    }
    if (run == nullptr) {
        // Its start may still be on the way, and must do nothing; or it has ended and is forgotten.
        (void)m_fence.pass(message.run, m_delivery.keptUntil() + m_context.policy.maxDeadline);
        m_context.out.send(from, RunStates{m_context.identity.incarnation, {{message.run, RunState::Absent}}});
        return;
    }
    stop(*run, Reason::Canceled);
}

void RunReception::onQuery(const InstanceName &from, const QueryRuns &message)
{
    RunStates states{m_context.identity.incarnation, {}};
    for (const QueryRuns::Item &item : message.items) {
        const Run *run = m_runs.find(item.run);
        states.items.push_back({item.run, run == nullptr ? RunState::Absent : run->state});
    }
    m_context.out.send(from, states);
    for (const QueryRuns::Item &item : message.items) {
        Run *run = m_runs.find(item.run);
        if (run != nullptr) {
            m_delivery.follow(*run, from, item.offset);
        }
    }
}

void RunReception::onTick()
{
    for (const RunId &id : m_runs.due(m_context.now)) {
        Run *run = m_runs.find(id);
        if (run != nullptr) {
            care(*run);
        }
    }
    m_home.expire();
    m_fence.expire(m_context.now);
}

Reason RunReception::refusal(const InstanceName &from, const StartRun &order) const
{
    if (!m_context.document) {
        return Reason::StaleView;
    }
    if (!m_context.peers.fresh(from)) {
        return Reason::Paused;
    }
    const bool known = order.serial != noSerial && m_context.now <= m_context.drainingSince + drainGrace;
    if (m_context.draining && !known) {
        return Reason::Draining;
    }
    if (!m_context.document->pools.contains(m_context.identity.pool)) {
        return Reason::NoEndpoint;
    }
    return Reason::None;
}

TimePoint RunReception::deadlineOf(const StartRun &order) const
{
    return m_context.now + std::min(order.remaining, m_context.policy.maxDeadline);
}

void RunReception::startRepeatable(const InstanceName &from, const StartRun &order)
{
    const TimePoint deadline = deadlineOf(order);
    const TimePoint remembered = std::max(deadline, m_context.now) + m_context.policy.resultRetention;
    if (!m_fence.pass(order.run, remembered)) {
        // Seen before or overtaken; it may have run, so this is no claim that it did not.
        m_context.out.send(from, RunFinished{order.run, RunState::Failed, Reason::Fenced});
        return;
    }
    for (const RunId &lower : m_runs.lowerInProgress(order.run)) {
        stop(*m_runs.find(lower), Reason::Fenced);
    }
    Run run;
    run.order = order;
    run.arrived = m_context.now;
    run.deadline = deadline;
    run.followers.push_back({from});
    run.due = m_context.now + m_context.policy.progressTimeout / 2;
    Run &added = m_runs.insert(std::move(run));
    m_delivery.hold(added);
    const Reason reason = refusal(from, order);
    if (reason != Reason::None) {
        m_scheduler.refuse(added, reason);
        return;
    }
    m_scheduler.enqueue(added);
}

void RunReception::stop(Run &run, Reason reason)
{
    if (run.state == RunState::Queued) {
        m_scheduler.refuse(run, reason);
        return;
    }
    if (run.state == RunState::Running && !run.once()) {
        m_scheduler.cancelRunning(run, reason);
        return;
    }
    // A run that must not be repeated goes on to its end: cut off, nobody would know what it has done.
    for (const RunFollower &follower : run.followers) {
        m_context.out.send(follower.peer, RunStates{m_context.identity.incarnation, {{run.order.run, run.state}}});
    }
}

void RunReception::care(Run &run)
{
    if (!run.inProgress()) {
        m_delivery.repeatOrExpire(run);
        return;
    }
    if (abandoned(run) && !run.once()) {
        stop(run, Reason::CallerGone);
        return;
    }
    m_delivery.signOfLife(run);
}

bool RunReception::abandoned(Run &run) const
{
    const bool followed = std::any_of(run.followers.begin(), run.followers.end(), [this](const RunFollower &follower) {
        return m_context.peers.connected(follower.peer);
    });
    if (followed) {
        run.abandonedAt.reset();
        return false;
    }
    if (!run.abandonedAt) {
        run.abandonedAt = m_context.now;
    }
    return *run.abandonedAt + abandonedGrace <= m_context.now;
}

} // namespace bergamottide
