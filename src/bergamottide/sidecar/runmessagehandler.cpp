#include "bergamottide/sidecar/runmessagehandler.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Maximum number of stages in the attempt fence; bounds its memory. */
constexpr std::size_t maxFencedStages = 32768;
/*! @brief Time without a connected subscriber after which a repeatable run is canceled; longer than a reconnect. */
constexpr Duration abandonedTimeout = std::chrono::seconds{2};

/**
 * @brief Time for which a draining sidecar still accepts runs with a serial issued earlier.
 *
 * Shorter than the two seconds after which a leaving endpoint must get no new run.
 */
constexpr Duration drainGracePeriod = std::chrono::milliseconds{1500};

} // namespace

RunMessageHandler::RunMessageHandler(SidecarContext &context, RunTable &runs, ResultDelivery &delivery,
                                     RunScheduler &scheduler, AtMostOnceHandler &atMostOnce)
    : m_context{context}
    , m_runs{runs}
    , m_delivery{delivery}
    , m_scheduler{scheduler}
    , m_atMostOnce{atMostOnce}
    , m_fence{maxFencedStages}
{
}

void RunMessageHandler::onStart(const InstanceName &from, const StartRun &message)
{
    if (RunRecord *known = m_runs.find(message.run)) {
        if (known->spec.serial != message.serial) {
            m_context.effects.observe(Metric::DroppedMessagesTotal, {"start_run"});
            return;
        }
        m_delivery.subscribe(*known, from, 0);
        return;
    }
    if (message.serial != noSerial) {
        m_atMostOnce.onStart(from, message, refusalReason(from, message));
        return;
    }
    startRepeatable(from, message);
}

void RunMessageHandler::onCancel(const InstanceName &from, const CancelRun &message)
{
    RunRecord *run = m_runs.find(message.run);
    if (run == nullptr && message.serial != noSerial) {
        m_atMostOnce.onCancel(from, message);
        return;
    }
    if (run == nullptr) {
        // The start message may arrive later and must not start the run.
        (void)m_fence.admit(message.run, m_delivery.retentionEnd() + m_context.policy.maxDeadline);
        m_context.effects.send(from, RunStates{m_context.identity.incarnation, {{message.run, RunState::Absent}}});
        return;
    }
    stopRun(*run, Reason::Canceled);
}

void RunMessageHandler::onQuery(const InstanceName &from, const QueryRuns &message)
{
    RunStates states{m_context.identity.incarnation, {}};
    for (const QueryRuns::Item &item : message.items) {
        const RunRecord *run = m_runs.find(item.run);
        states.items.push_back({item.run, run == nullptr ? RunState::Absent : run->state});
    }
    m_context.effects.send(from, states);
    for (const QueryRuns::Item &item : message.items) {
        RunRecord *run = m_runs.find(item.run);
        if (run != nullptr) {
            m_delivery.subscribe(*run, from, item.offset);
        }
    }
}

void RunMessageHandler::onTick()
{
    for (const RunId &id : m_runs.dueRuns(m_context.now)) {
        RunRecord *run = m_runs.find(id);
        if (run != nullptr) {
            handleDue(*run);
        }
    }
    m_atMostOnce.expire();
    m_fence.expire(m_context.now);
}

Reason RunMessageHandler::refusalReason(const InstanceName &from, const StartRun &message) const
{
    if (!m_context.document) {
        return Reason::StaleView;
    }
    if (!m_context.peers.isFresh(from)) {
        return Reason::Paused;
    }
    const bool hasGracePeriod =
        message.serial != noSerial && m_context.now <= m_context.drainingSince + drainGracePeriod;
    if (m_context.draining && !hasGracePeriod) {
        return Reason::Draining;
    }
    if (!m_context.document->pools.contains(m_context.identity.pool)) {
        return Reason::NoEndpoint;
    }
    return Reason::None;
}

TimePoint RunMessageHandler::deadlineOf(const StartRun &message) const
{
    return m_context.now + std::min(message.remaining, m_context.policy.maxDeadline);
}

void RunMessageHandler::startRepeatable(const InstanceName &from, const StartRun &message)
{
    const TimePoint deadline = deadlineOf(message);
    const TimePoint expiry = std::max(deadline, m_context.now) + m_context.policy.resultRetention;
    if (!m_fence.admit(message.run, expiry)) {
        // A duplicate or outdated attempt may have run already, so `NotStarted` would be wrong.
        m_context.effects.send(from, RunFinished{message.run, RunState::Failed, Reason::Fenced});
        return;
    }
    for (const RunId &lower : m_runs.lowerAttemptsInProgress(message.run)) {
        stopRun(*m_runs.find(lower), Reason::Fenced);
    }
    RunRecord run;
    run.spec = message;
    run.arrived = m_context.now;
    run.deadline = deadline;
    run.subscribers.push_back({from});
    run.due = m_context.now + m_context.policy.progressTimeout / 2;
    RunRecord &added = m_runs.insert(std::move(run));
    m_delivery.addHeldBytes(added);
    const Reason reason = refusalReason(from, message);
    if (reason != Reason::None) {
        m_scheduler.refuse(added, reason);
        return;
    }
    m_scheduler.enqueue(added);
}

void RunMessageHandler::stopRun(RunRecord &run, Reason reason)
{
    if (run.state == RunState::Queued) {
        m_scheduler.refuse(run, reason);
        return;
    }
    if (run.state == RunState::Running && !run.isAtMostOnce()) {
        m_scheduler.cancelRunning(run, reason);
        return;
    }
    // A running at-most-once run is never stopped: its effects would be unknown.
    for (const RunSubscriber &subscriber : run.subscribers) {
        m_context.effects.send(subscriber.peer, RunStates{m_context.identity.incarnation, {{run.spec.run, run.state}}});
    }
}

void RunMessageHandler::handleDue(RunRecord &run)
{
    if (!run.isInProgress()) {
        m_delivery.repeatOrExpire(run);
        return;
    }
    if (isAbandoned(run) && !run.isAtMostOnce()) {
        stopRun(run, Reason::CallerGone);
        return;
    }
    m_delivery.sendKeepAlives(run);
}

bool RunMessageHandler::isAbandoned(RunRecord &run) const
{
    const bool hasConnectedSubscriber =
        std::any_of(run.subscribers.begin(), run.subscribers.end(),
                    [this](const RunSubscriber &subscriber) { return m_context.peers.isConnected(subscriber.peer); });
    if (hasConnectedSubscriber) {
        run.abandonedAt.reset();
        return false;
    }
    if (!run.abandonedAt) {
        run.abandonedAt = m_context.now;
    }
    return *run.abandonedAt + abandonedTimeout <= m_context.now;
}

} // namespace bergamottide
