#include "bergamottide/sidecar/runscheduler.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Smoothing factor of the share of failed runs; about the last twenty runs count. */
constexpr double failureSmoothing = 0.05;
/*! @brief Runs count as uncontended up to the concurrency limit divided by this number. */
constexpr std::uint32_t uncontendedDivisor = 4;
/*! @brief Maximum number of workspaces in one load report, those with the longest wait; bounds its size. */
constexpr std::size_t maxReportedWaits = 16;

ServiceClass classOf(const StartRun &spec)
{
    return {spec.pipeline, spec.stage, spec.model, spec.kind};
}

} // namespace

RunScheduler::RunScheduler(SidecarContext &context, RunTable &runs, Ledger &ledger, ResultDelivery &delivery)
    : m_context{context}
    , m_runs{runs}
    , m_ledger{ledger}
    , m_delivery{delivery}
    , m_queue{context.policy.queueLimit, context.pool.concurrency}
    , m_limit{context.pool.concurrency}
{
}

void RunScheduler::configure()
{
    m_queue.setLimit(m_context.policy.queueLimit);
    m_limit.setMaximum(m_context.pool.concurrency);
    for (const auto &[name, workspace] : m_context.document->workspaces) {
        m_queue.setWeight(name, workspace.weight);
    }
}

void RunScheduler::enqueue(RunRecord &run)
{
    const QueueItem item = makeQueueItem(run);
    if (item.latestStart() < m_context.now) {
        refuse(run, Reason::DeadlineUnreachable);
        return;
    }
    if (m_delivery.isMemoryFull()) {
        refuse(run, Reason::QueueFull);
        return;
    }
    const PushResult outcome = m_queue.push(item);
    if (!outcome.accepted) {
        refuse(run, Reason::QueueFull);
        return;
    }
    if (!outcome.evicted) {
        return;
    }
    RunRecord *evicted = m_runs.find(outcome.evicted->run);
    if (evicted != nullptr) {
        refuse(*evicted, Reason::QueueFull);
    }
}

void RunScheduler::dispatch()
{
    refuseInfeasible();
    m_queue.setConcurrency(m_limit.current());
    while (!m_context.peers.awaitsConfirmation() && m_running.size() < m_limit.current()) {
        const std::optional<QueueItem> item = m_queue.pop(m_context.now);
        if (!item) {
            return;
        }
        RunRecord *run = m_runs.find(item->run);
        if (run != nullptr) {
            startRun(*run);
        }
    }
}

void RunScheduler::refuseInfeasible()
{
    for (const QueueItem &item : m_queue.takeInfeasible(m_context.now)) {
        RunRecord *run = m_runs.find(item.run);
        if (run == nullptr) {
            continue;
        }
        const bool late = run->deadline < m_context.now;
        refuse(*run, late ? Reason::DeadlineExceeded : Reason::DeadlineUnreachable);
    }
}

void RunScheduler::refuse(RunRecord &run, Reason reason)
{
    m_queue.erase(run.spec.run);
    if (run.isAtMostOnce()) {
        m_ledger.seal(run.spec.serial, m_delivery.retentionEnd());
    }
    m_context.effects.observe(Metric::RefusalsTotal, {std::string{enumName(reason)}});
    m_delivery.finish(run, {RunState::NotStarted, reason, retryDelay(run)});
}

void RunScheduler::cancelRunning(RunRecord &run, Reason reason)
{
    m_context.effects.add(CancelEndpointRun{run.spec.run});
    m_running.erase(run.spec.run);
    endRun(run, {RunState::Failed, reason});
}

void RunScheduler::onPiece(const EndpointResultPiece &event)
{
    RunRecord *run = m_runs.find(event.run);
    if (run == nullptr || run->state != RunState::Running) {
        m_context.effects.observe(Metric::DroppedMessagesTotal, {"endpoint_piece"});
        return;
    }
    if (run->result.size() + event.piece.size() <= m_context.policy.maxResultBytes) {
        m_delivery.append(*run, event.piece, event.tokens);
        return;
    }
    // Protects the sidecar's memory from a broken or hostile endpoint.
    m_context.effects.add(CancelEndpointRun{event.run});
    onFinished({event.run, EndpointResult::Failed, Reason::AnswerTooLarge});
}

void RunScheduler::onFinished(const EndpointRunEnded &event)
{
    RunRecord *run = m_runs.find(event.run);
    if (run == nullptr || run->state != RunState::Running) {
        m_context.effects.observe(Metric::DroppedMessagesTotal, {"endpoint_finished"});
        return;
    }
    recordServiceTime(*run, event.result, event.reason);
    m_running.erase(event.run);
    switch (event.result) {
    case EndpointResult::Completed:
        endRun(*run, {RunState::Completed, Reason::None});
        return;
    case EndpointResult::Refused:
        if (run->result.empty()) {
            endRun(*run, {RunState::NotStarted, event.reason, retryDelay(*run)});
            return;
        }
        // The endpoint has sent pieces, so the run has started despite the refusal.
        endRun(*run, {run->isAtMostOnce() ? RunState::Unknown : RunState::Failed, event.reason});
        return;
    case EndpointResult::Failed:
        endRun(*run, {run->isAtMostOnce() ? RunState::Unknown : RunState::Failed, event.reason});
        return;
    }
}

std::optional<TimePoint> RunScheduler::nextInfeasibleAt() const
{
    return m_queue.nextInfeasibleAt();
}

std::uint32_t RunScheduler::queued() const noexcept
{
    return static_cast<std::uint32_t>(m_queue.size());
}

std::uint32_t RunScheduler::running() const noexcept
{
    return static_cast<std::uint32_t>(m_running.size());
}

void RunScheduler::fillLoadReport(LoadReport &report) const
{
    report.queued = queued();
    report.running = running();
    report.concurrency = m_limit.current();
    // A run of a workspace with an empty queue is next: it waits at most for one run to end.
    const bool saturated = running() >= report.concurrency;
    report.wait = saturated ? m_serviceTimes.mean() / report.concurrency : Duration{};
    auto waits = m_queue.waits();
    std::stable_sort(waits.begin(), waits.end(),
                     [](const auto &left, const auto &right) { return left.second > right.second; });
    for (auto &[workspace, wait] : waits) {
        if (report.waits.size() >= maxReportedWaits) {
            break;
        }
        report.waits.push_back({std::move(workspace), wait});
    }
    report.servicePerUnit = m_serviceTimes.perUnit();
    report.failureShare = m_failureShare;
}

QueueItem RunScheduler::makeQueueItem(const RunRecord &run) const
{
    const StartRun &spec = run.spec;
    QueueItem item;
    item.run = spec.run;
    item.workspace = spec.workspace;
    item.cost = m_serviceTimes.estimate(classOf(spec), spec.size).value_or(spec.cost);
    item.laterStagesCost = spec.laterStagesCost;
    item.deadline = run.deadline;
    item.value = spec.value;
    return item;
}

Duration RunScheduler::retryDelay(const RunRecord &run) const
{
    // At least the report period: an earlier retry would be placed by the same load report.
    return std::max(m_queue.wait(run.spec.workspace), m_context.policy.reportPeriod);
}

void RunScheduler::startRun(RunRecord &run)
{
    run.state = RunState::Running;
    run.started = m_context.now;
    if (run.isAtMostOnce()) {
        m_ledger.markRunning(run.spec.serial);
    }
    m_running.emplace(run.spec.run, static_cast<std::uint32_t>(m_running.size()) + 1);
    m_context.effects.add(StartEndpointRun{run.spec, m_context.pool});
    m_delivery.sendKeepAlives(run);
}

void RunScheduler::endRun(RunRecord &run, const RunOutcome &outcome)
{
    if (run.isAtMostOnce()) {
        const bool refused = outcome.state == RunState::NotStarted;
        refused ? m_ledger.markRefused(run.spec.serial, m_delivery.retentionEnd())
                : m_ledger.markFinished(run.spec.serial, m_delivery.retentionEnd());
    }
    m_delivery.finish(run, outcome);
    recordStageMetrics(run);
}

void RunScheduler::recordServiceTime(const RunRecord &run, EndpointResult result, Reason reason)
{
    const bool failed = result != EndpointResult::Completed;
    m_failureShare += failureSmoothing * ((failed ? 1.0 : 0.0) - m_failureShare);
    if (result == EndpointResult::Refused || reason == Reason::Overloaded) {
        m_limit.recordOverload();
    }
    if (failed) {
        return;
    }
    const Duration service = m_context.now - *run.started;
    const ServiceClass work = classOf(run.spec);
    const std::uint32_t concurrentRuns = m_running.at(run.spec.run);
    m_serviceTimes.learn(work, run.spec.size, service);
    if (concurrentRuns <= std::max(m_limit.current() / uncontendedDivisor, 1U)) {
        m_uncontendedTimes.learn(work, run.spec.size, service);
    }
    const std::optional<Duration> uncontended = m_uncontendedTimes.estimate(work, run.spec.size);
    const auto base =
        static_cast<double>(uncontended ? std::max(uncontended->count(), Duration::rep{1}) : service.count());
    m_limit.recordCompletion(base > 0.0 ? static_cast<double>(service.count()) / base : 1.0, concurrentRuns);
}

void RunScheduler::recordStageMetrics(const RunRecord &run)
{
    const double seconds = std::chrono::duration<double>(run.ended - *run.started).count();
    const bool useful = run.state == RunState::Completed && run.ended <= run.deadline;
    m_context.effects.observe(useful ? Metric::StageUsefulSecondsTotal : Metric::StageWastedSecondsTotal,
                              {run.spec.stage.text(), run.spec.workspace.text()}, seconds);
    const double waited = std::chrono::duration<double>(*run.started - run.arrived).count();
    m_context.effects.observe(Metric::StageWaitSeconds, {run.spec.stage.text(), run.spec.workspace.text()}, waited);
}

} // namespace bergamottide
