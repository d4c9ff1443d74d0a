#include "bergamottide/side/runscheduler.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Weight of the newest run in the share of failures: about the last twenty runs count. */
constexpr double newestFailure = 0.05;
/*! @brief Share of the concurrency up to which a run counts as nearly alone at the endpoint. */
constexpr std::uint32_t lightShare = 4;
/*! @brief Workspaces named in one report: those that wait longest; it keeps a report below a kilobyte. */
constexpr std::size_t maxReportedWaits = 16;

ServiceClass classOf(const StartRun &order)
{
    return {order.pipeline, order.stage, order.model, order.kind};
}

} // namespace

RunScheduler::RunScheduler(SideContext &context, RunTable &runs, Ledger &ledger, RunDelivery &delivery)
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

void RunScheduler::enqueue(Run &run)
{
    const QueueItem item = queueItem(run);
    if (item.latestStart() < m_context.now) {
        refuse(run, Reason::DeadlineUnreachable);
        return;
    }
    if (m_delivery.full()) {
        refuse(run, Reason::QueueFull);
        return;
    }
    const QueueOutcome outcome = m_queue.push(item);
    if (!outcome.accepted) {
        refuse(run, Reason::QueueFull);
        return;
    }
    if (!outcome.victim) {
        return;
    }
    Run *victim = m_runs.find(outcome.victim->run);
    if (victim != nullptr) {
        refuse(*victim, Reason::QueueFull);
    }
}

void RunScheduler::dispatch()
{
    refuseDoomed();
    m_queue.setParallel(m_limit.current());
    while (!m_context.peers.paused() && m_running.size() < m_limit.current()) {
        const std::optional<QueueItem> item = m_queue.pop(m_context.now);
        if (!item) {
            return;
        }
        Run *run = m_runs.find(item->run);
        if (run != nullptr) {
            start(*run);
        }
    }
}

void RunScheduler::refuseDoomed()
{
    for (const QueueItem &item : m_queue.takeDoomed(m_context.now)) {
        Run *run = m_runs.find(item.run);
        if (run == nullptr) {
            continue;
        }
        const bool late = run->deadline < m_context.now;
        refuse(*run, late ? Reason::DeadlineExceeded : Reason::DeadlineUnreachable);
    }
}

void RunScheduler::refuse(Run &run, Reason reason)
{
    m_queue.erase(run.order.run);
    if (run.once()) {
        m_ledger.seal(run.order.serial, m_delivery.keptUntil());
    }
    m_context.out.observe(Metric::RefusalsTotal, {std::string{enumName(reason)}});
    m_delivery.finish(run, {RunState::NotStarted, reason, refusalWait(run)});
}

void RunScheduler::cancelRunning(Run &run, Reason reason)
{
    m_context.out.add(EndpointCancel{run.order.run});
    m_running.erase(run.order.run);
    end(run, {RunState::Failed, reason});
}

void RunScheduler::onPiece(const EndpointPiece &event)
{
    Run *run = m_runs.find(event.run);
    if (run == nullptr || run->state != RunState::Running) {
        m_context.out.observe(Metric::DroppedMessagesTotal, {"endpoint_piece"});
        return;
    }
    if (run->result.size() + event.piece.size() <= m_context.policy.maxResultBytes) {
        m_delivery.append(*run, event.piece, event.tokens);
        return;
    }
    // A hostile or broken endpoint costs its own run only.
    m_context.out.add(EndpointCancel{event.run});
    onFinished({event.run, EndpointResult::Failed, Reason::AnswerTooLarge});
}

void RunScheduler::onFinished(const EndpointFinished &event)
{
    Run *run = m_runs.find(event.run);
    if (run == nullptr || run->state != RunState::Running) {
        m_context.out.observe(Metric::DroppedMessagesTotal, {"endpoint_finished"});
        return;
    }
    learn(*run, event.result, event.reason);
    m_running.erase(event.run);
    switch (event.result) {
    case EndpointResult::Completed:
        end(*run, {RunState::Completed, Reason::None});
        return;
    case EndpointResult::Refused:
        if (run->result.empty()) {
            end(*run, {RunState::NotStarted, event.reason, refusalWait(*run)});
            return;
        }
        // It has sent pieces, so it did start, whatever it says.
        end(*run, {run->once() ? RunState::Unknown : RunState::Failed, event.reason});
        return;
    case EndpointResult::Failed:
        end(*run, {run->once() ? RunState::Unknown : RunState::Failed, event.reason});
        return;
    }
}

std::optional<TimePoint> RunScheduler::nextDoomed() const
{
    return m_queue.nextDoomed();
}

std::uint32_t RunScheduler::queued() const noexcept
{
    return static_cast<std::uint32_t>(m_queue.size());
}

std::uint32_t RunScheduler::running() const noexcept
{
    return static_cast<std::uint32_t>(m_running.size());
}

void RunScheduler::describe(LoadReport &report) const
{
    report.queued = queued();
    report.running = running();
    report.concurrency = m_limit.current();
    // A workspace that comes anew is next: it waits for one run to end, if all places are taken.
    const bool full = running() >= report.concurrency;
    report.wait = full ? m_times.mean() / report.concurrency : Duration{};
    auto waits = m_queue.waits();
    std::stable_sort(waits.begin(), waits.end(),
                     [](const auto &left, const auto &right) { return left.second > right.second; });
    for (auto &[workspace, wait] : waits) {
        if (report.waits.size() >= maxReportedWaits) {
            break;
        }
        report.waits.push_back({std::move(workspace), wait});
    }
    report.servicePerUnit = m_times.perUnit();
    report.failureShare = m_failureShare;
}

QueueItem RunScheduler::queueItem(const Run &run) const
{
    const StartRun &order = run.order;
    QueueItem item;
    item.run = order.run;
    item.workspace = order.workspace;
    item.cost = m_times.estimate(classOf(order), order.size).value_or(order.cost);
    item.following = order.following;
    item.deadline = run.deadline;
    item.value = order.value;
    return item;
}

Duration RunScheduler::refusalWait(const Run &run) const
{
    // What is queued now has to go first; never less than a report's age, after which more is known.
    return std::max(m_queue.wait(run.order.workspace), m_context.policy.reportPeriod);
}

void RunScheduler::start(Run &run)
{
    run.state = RunState::Running;
    run.started = m_context.now;
    if (run.once()) {
        m_ledger.markRunning(run.order.serial);
    }
    m_running.emplace(run.order.run, static_cast<std::uint32_t>(m_running.size()) + 1);
    m_context.out.add(EndpointStart{run.order, m_context.pool});
    m_delivery.signOfLife(run);
}

void RunScheduler::end(Run &run, const RunEnd &end)
{
    if (run.once()) {
        const bool refused = end.state == RunState::NotStarted;
        refused ? m_ledger.markRefused(run.order.serial, m_delivery.keptUntil())
                : m_ledger.markFinished(run.order.serial, m_delivery.keptUntil());
    }
    m_delivery.finish(run, end);
    account(run);
}

void RunScheduler::learn(const Run &run, EndpointResult result, Reason reason)
{
    const bool failed = result != EndpointResult::Completed;
    m_failureShare += newestFailure * ((failed ? 1.0 : 0.0) - m_failureShare);
    if (result == EndpointResult::Refused || reason == Reason::Overloaded) {
        m_limit.overloaded();
    }
    if (failed) {
        return;
    }
    const Duration service = m_context.now - *run.started;
    const ServiceClass work = classOf(run.order);
    const std::uint32_t together = m_running.at(run.order.run);
    m_times.learn(work, run.order.size, service);
    if (together <= std::max(m_limit.current() / lightShare, 1U)) {
        m_lightTimes.learn(work, run.order.size, service);
    }
    const std::optional<Duration> alone = m_lightTimes.estimate(work, run.order.size);
    const auto base = static_cast<double>(alone ? std::max(alone->count(), Duration::rep{1}) : service.count());
    m_limit.completed(base > 0.0 ? static_cast<double>(service.count()) / base : 1.0, together);
}

void RunScheduler::account(const Run &run)
{
    const double seconds = std::chrono::duration<double>(run.ended - *run.started).count();
    const bool useful = run.state == RunState::Completed && run.ended <= run.deadline;
    m_context.out.observe(useful ? Metric::StageUsefulSecondsTotal : Metric::StageWastedSecondsTotal,
                          {run.order.stage.text(), run.order.workspace.text()}, seconds);
    const double waited = std::chrono::duration<double>(*run.started - run.arrived).count();
    m_context.out.observe(Metric::StageWaitSeconds, {run.order.stage.text(), run.order.workspace.text()}, waited);
}

} // namespace bergamottide
