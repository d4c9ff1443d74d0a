#include "bergamottide/entry/stagedriver.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Increment of the attempt number when another entry has already used the number for this request. */
constexpr std::uint32_t fencedAttemptStep = 16;

/*! @brief Returns the work size of a stage: the maximum number of tokens if it generates any, else bytes of input. */
double workSize(const Request &request, const Stage &stage)
{
    if (stage.maxTokens > 0) {
        return request.maxTokens > 0 ? std::min(request.maxTokens, stage.maxTokens) : stage.maxTokens;
    }
    return static_cast<double>(request.body.size());
}

const Stage &currentStage(const Request &request)
{
    return request.pipeline->stages[request.stage];
}

/*! @brief Returns whether a refusal concerns the sidecar only; a retry elsewhere then needs no retry budget. */
bool refusedBySidecarState(Reason reason)
{
    return reason == Reason::Draining || reason == Reason::Paused || reason == Reason::StaleView
        || reason == Reason::Fenced;
}

} // namespace

StageDriver::StageDriver(EntryContext &context, RequestFinisher &finisher)
    : m_context{context}
    , m_finisher{finisher}
{
}

void StageDriver::estimateCosts(Request &request) const
{
    request.costs.clear();
    request.serviceTimeSpent.assign(request.pipeline->stages.size(), Duration::zero());
    for (const Stage &stage : request.pipeline->stages) {
        const ServiceTimeKey key{request.pipeline->name, stage.name, request.kind.name, workSize(request, stage)};
        request.costs.push_back(m_context.estimator.estimate(key, stage.expected));
    }
}

ServiceTimeKey StageDriver::serviceKey(const Request &request) const
{
    const Stage &stage = currentStage(request);
    return {request.pipeline->name, stage.name, request.kind.name, workSize(request, stage)};
}

std::optional<PlacementResult> StageDriver::place(const Request &request, bool allowsTrial)
{
    if (request.boundToHome()) {
        const auto number = m_context.table.find(request.home->sidecar);
        const bool reachable = number && m_context.peers.connected(request.home->sidecar);
        return reachable ? std::optional{PlacementResult{*number, Duration::zero(), false}} : std::nullopt;
    }
    return m_context.placement.choose(queryFor(request, allowsTrial), m_context.policy(), m_context.now);
}

PlacementQuery StageDriver::queryFor(const Request &request, bool allowsTrial) const
{
    return {currentStage(request).pool,
            request.binding->model,
            request.workspace->name,
            request.prefix,
            request.costs[request.stage],
            allowsTrial,
            request.avoided};
}

void StageDriver::start(Request &request)
{
    if (request.home && request.home->sealRequested) {
        return;
    }
    if (m_context.now >= request.deadline) {
        m_finisher.giveUp(request, Reason::DeadlineExceeded, Duration::zero());
        return;
    }
    if (m_context.paused) {
        m_context.deferred.push_back(request.id);
        return;
    }
    removePendingStage(request);
    const bool first = request.attemptsMade == 0;
    if (dispatch(request, true)) {
        const StageName &stage = currentStage(request).name;
        if (first) {
            m_context.retryBudget.deposit(request.workspace->name, stage, m_context.policy().retryBudget);
            m_context.hedgeBudget.deposit(request.workspace->name, stage, m_context.policy().hedgeBudget);
        }
        return;
    }
    if (!request.boundToHome()) {
        m_finisher.giveUp(request, Reason::NoEndpoint, m_context.policy().ejectionTime);
    }
}

void StageDriver::startDeferred()
{
    for (const RequestId &id : std::exchange(m_context.deferred, {})) {
        Request *request = m_context.requests.find(id);
        if (request && request->runs.empty()) {
            start(*request);
        }
    }
}

void StageDriver::removePendingStage(Request &request)
{
    if (request.firstPendingStage > request.stage) {
        return;
    }
    const Stage &stage = currentStage(request);
    m_context.admission.removePendingStage(request.workspace->name, stage.pool, request.costs[request.stage]);
    request.firstPendingStage = request.stage + 1;
}

bool StageDriver::dispatch(Request &request, bool allowsTrial)
{
    if (m_context.paused || (request.home && request.home->sealRequested)) {
        return false;
    }
    const auto placed = place(request, allowsTrial);
    if (!placed) {
        return false;
    }
    ++request.attempt;
    ++request.attemptsMade;
    addRun(request, *placed);
    const StageRun &run = request.runs.back();
    m_context.send(run.sidecar, messageFor(request, run));
    setTimers(request, run);
    return true;
}

void StageDriver::addRun(Request &request, const PlacementResult &placed)
{
    const RunId id{request.id, request.stage, request.attempt};
    const Duration cost = request.costs[request.stage];
    const InstanceName &sidecar = m_context.table.endpoint(placed.number).name;
    StageRun &run = request.runs.emplace_back(id, sidecar, placed.number, m_context.policy().maxResultBytes);
    run.cost = cost;
    run.trial = placed.trial;
    run.dispatchedAt = m_context.now;
    run.lastMessageAt = m_context.now;
    run.streamEpoch = m_context.peers.at(sidecar).streamEpoch;
    if (request.boundToHome()) {
        run.serial = request.home->serial;
        request.home->runDispatched = true;
    }
    ++request.unconfirmedRuns;
    m_context.table.runSent(placed.number, cost);
}

void StageDriver::setTimers(const Request &request, const StageRun &run)
{
    const Policy &policy = m_context.policy();
    const RunId &id = run.id;
    m_context.timers.set(
        {m_context.now + policy.progressTimeout, TimerKind::Progress, id.request, id.stage, id.attempt});
    if (!mayRepeat(request, run) || request.runs.size() > 1 || (request.streaming && request.atLastStage())) {
        return;
    }
    const auto delay =
        m_context.hedging.delay(request.pipeline->name, currentStage(request).name, run.cost, policy.hedgeQuantile);
    if (delay) {
        m_context.timers.set({m_context.now + *delay, TimerKind::Hedge, id.request, id.stage, id.attempt});
    }
}

StartRun StageDriver::messageFor(const Request &request, const StageRun &run) const
{
    const Stage &stage = currentStage(request);
    StartRun message;
    message.run = run.id;
    message.serial = run.serial;
    message.incarnation = run.serial == noSerial ? Incarnation{} : request.home->incarnation;
    message.workspace = request.workspace->name;
    message.pipeline = request.pipeline->name;
    message.stage = stage.name;
    message.kind = request.kind.name;
    message.model = request.binding->model;
    message.adapter = request.binding->adapter;
    message.modelVersion = request.binding->version;
    message.value = request.kind.value;
    message.size = workSize(request, stage);
    message.remaining = request.deadline - m_context.now;
    message.cost = run.cost;
    for (std::size_t index = request.stage + 1; index < request.costs.size(); ++index) {
        message.laterStagesCost += request.costs[index];
    }
    message.maxTokens = stage.maxTokens > 0 ? static_cast<std::uint32_t>(message.size) : 0;
    message.streaming = request.streaming && request.atLastStage();
    message.prefix = request.prefix;
    message.body = request.body;
    message.previousResult = request.previousResult;
    return message;
}

void StageDriver::resend(const Request &request, const StageRun &run)
{
    m_context.send(run.sidecar, messageFor(request, run));
}

void StageDriver::follow(Request &request, const RunId &id)
{
    const auto isRun = [&id](const StageRun &run) {
        return run.id == id;
    };
    const auto number = m_context.table.find(request.home->sidecar);
    if (!number || std::any_of(request.runs.begin(), request.runs.end(), isRun)) {
        return;
    }
    cancelOthers(request, id);
    request.stage = static_cast<std::uint32_t>(request.pipeline->stages.size() - 1);
    removePendingStage(request);
    request.attempt = id.attempt;
    addRun(request, PlacementResult{*number, Duration::zero(), false});
    setTimers(request, request.runs.back());
}

void StageDriver::relay(Request &request, const StageRun &run)
{
    if (!request.streaming || !request.atLastStage() || !request.callerWaits) {
        return;
    }
    const std::string &bytes = run.result.bytes();
    if (bytes.size() <= request.relayedBytes) {
        return;
    }
    m_context.effects.emplace_back(SendResultPiece{request.call, bytes.substr(request.relayedBytes)});
    request.relayedBytes = bytes.size();
}

void StageDriver::removeRun(Request &request, const StageRun &run)
{
    m_context.table.runEnded(run.endpoint, run.cost);
    const auto isRun = [&run](const StageRun &other) {
        return other.id == run.id;
    };
    request.runs.erase(std::find_if(request.runs.begin(), request.runs.end(), isRun));
}

void StageDriver::cancelOthers(Request &request, const RunId &winner)
{
    for (const StageRun &run : request.runs) {
        if (run.id != winner) {
            m_finisher.cancelRun(request, run);
        }
    }
    std::erase_if(request.runs, [&winner](const StageRun &run) { return run.id != winner; });
}

void StageDriver::advance(Request &request, StageRun &run)
{
    const RunFinished finished = *run.finished;
    m_context.estimator.learn(serviceKey(request), finished.serviceTime);
    m_context.hedging.learn(request.pipeline->name, currentStage(request).name, run.cost,
                            m_context.now - run.dispatchedAt);
    m_context.ejector.recordCompletion(run.endpoint, run.cost, finished.serviceTime);
    request.serviceTimeSpent[request.stage] += finished.serviceTime;
    request.tokens = finished.tokens;
    const std::string result = run.result.take();
    const RunId id = run.id;
    removeRun(request, run);
    cancelOthers(request, id);
    if (request.atLastStage()) {
        m_finisher.complete(request, result);
        return;
    }
    request.previousResult = result;
    ++request.stage;
    request.attempt = 0;
    request.attemptsMade = 0;
    request.avoided.clear();
    start(request);
}

bool StageDriver::mayRepeat(const Request &request, const StageRun &run) const
{
    // Bytes that were relayed cannot be revoked, and another run may generate a different result.
    const bool partlyRelayed = request.atLastStage() && request.relayedBytes > 0;
    return run.serial == noSerial && !partlyRelayed && m_context.now < request.deadline
        && request.attemptsMade < m_context.policy().maxAttempts;
}

void StageDriver::runLost(Request &request, StageRun &run, Reason reason, Duration retryAfter)
{
    const bool repeatable = mayRepeat(request, run);
    const StageName &stage = currentStage(request).name;
    request.avoided.push_back(run.sidecar);
    if (reason == Reason::Fenced) {
        request.attempt += fencedAttemptStep;
        request.avoided.pop_back();
    }
    removeRun(request, run);
    if (!request.runs.empty()) {
        return;
    }
    if (m_context.paused && repeatable) {
        m_context.deferred.push_back(request.id);
        return;
    }
    const bool withinBudget = repeatable
        && (refusedBySidecarState(reason) || m_context.retryBudget.tryWithdraw(request.workspace->name, stage));
    if (withinBudget && dispatchAgain(request, reason)) {
        m_context.observe(Metric::RetriesTotal, {stage.text()});
        return;
    }
    m_finisher.giveUp(request, reason, retryAfter);
}

// Retries at a sidecar that was tried before only if its run was lost with the connection, so that a pool with a single
// endpoint can retry. After a failure or a refusal the same sidecar would probably fail again.
bool StageDriver::dispatchAgain(Request &request, Reason reason)
{
    if (dispatch(request, true)) {
        return true;
    }
    if (reason != Reason::ConnectionLost) {
        return false;
    }
    request.avoided.clear();
    return dispatch(request, true);
}

bool StageDriver::moveElsewhere(Request &request, StageRun &run)
{
    if (!mayRepeat(request, run)) {
        return false;
    }
    const StageName &stage = currentStage(request).name;
    const RunId id = run.id;
    request.avoided.push_back(run.sidecar);
    if (request.runs.size() == 1) {
        if (!m_context.retryBudget.tryWithdraw(request.workspace->name, stage) || !dispatch(request, true)) {
            request.avoided.pop_back();
            return false;
        }
        m_context.observe(Metric::RetriesTotal, {stage.text()});
    }
    const auto isRun = [&id](const StageRun &other) {
        return other.id == id;
    };
    const auto lost = std::find_if(request.runs.begin(), request.runs.end(), isRun);
    m_finisher.cancelRun(request, *lost);
    request.runs.erase(lost);
    return true;
}

void StageDriver::hedge(Request &request)
{
    const StageRun &slow = request.runs.front();
    if (request.runs.size() != 1 || !mayRepeat(request, slow)) {
        return;
    }
    const StageName &stage = currentStage(request).name;
    request.avoided.push_back(slow.sidecar);
    if (hasCapacityForHedge(request) && m_context.hedgeBudget.tryWithdraw(request.workspace->name, stage)
        && dispatch(request, false)) {
        m_context.observe(Metric::HedgesTotal, {stage.text()});
        return;
    }
    request.avoided.pop_back();
}

// A hedge that has to queue delays the first run of another request; under saturation hedging would add load.
bool StageDriver::hasCapacityForHedge(const Request &request)
{
    const auto wait = m_context.placement.estimateWait(queryFor(request, false), m_context.policy(), m_context.now);
    return wait && *wait <= request.costs[request.stage] / 4;
}

} // namespace bergamottide
