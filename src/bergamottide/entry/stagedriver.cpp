#include "bergamottide/entry/stagedriver.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Step to the next number of attempt when an earlier driver of the request has used this one. */
constexpr std::uint32_t fencedStep = 16;

/*! @brief Size of a stage's work: the tokens wanted where it generates, else the bytes it reads. */
double workSize(const Request &request, const Stage &stage)
{
    if (stage.maxTokens > 0) {
        return request.maxTokens > 0 ? std::min(request.maxTokens, stage.maxTokens) : stage.maxTokens;
    }
    return static_cast<double>(request.body.size());
}

const Stage &presentStage(const Request &request)
{
    return request.pipeline->stages[request.stage];
}

/*! @brief Tells if a side refused for a reason of its own, so that trying elsewhere adds no load to a full pool. */
bool refusedForItself(Reason reason)
{
    return reason == Reason::Draining || reason == Reason::Paused || reason == Reason::StaleView
        || reason == Reason::Fenced;
}

} // namespace

StageDriver::StageDriver(EntryContext &context, Answers &answers)
    : m_context{context}
    , m_answers{answers}
{
}

void StageDriver::estimateCosts(Request &request) const
{
    request.costs.clear();
    request.spent.assign(request.pipeline->stages.size(), Duration::zero());
    for (const Stage &stage : request.pipeline->stages) {
        const ServiceKey key{request.pipeline->name, stage.name, request.kind.name, workSize(request, stage)};
        request.costs.push_back(m_context.estimator.estimate(key, stage.expected));
    }
}

ServiceKey StageDriver::serviceKey(const Request &request) const
{
    const Stage &stage = presentStage(request);
    return {request.pipeline->name, stage.name, request.kind.name, workSize(request, stage)};
}

std::optional<Placed> StageDriver::place(const Request &request, bool mayTry)
{
    if (request.boundToHome()) {
        const auto number = m_context.table.find(request.home->side);
        const bool reachable = number && m_context.peers.connected(request.home->side);
        return reachable ? std::optional{Placed{*number, Duration::zero(), false}} : std::nullopt;
    }
    return m_context.placement.choose(queryFor(request, mayTry), m_context.policy(), m_context.now);
}

PlacementQuery StageDriver::queryFor(const Request &request, bool mayTry) const
{
    return {presentStage(request).pool,
            request.binding->model,
            request.workspace->name,
            request.prefix,
            request.costs[request.stage],
            mayTry,
            request.avoided};
}

void StageDriver::start(Request &request)
{
    if (request.home && request.home->sealing) {
        return;
    }
    if (m_context.now >= request.deadline) {
        m_answers.giveUp(request, Reason::DeadlineExceeded, Duration::zero());
        return;
    }
    if (m_context.paused) {
        m_context.held.push_back(request.id);
        return;
    }
    leaveStagePending(request);
    const bool first = request.tries == 0;
    if (dispatch(request, true)) {
        const StageName &stage = presentStage(request).name;
        if (first) {
            m_context.retries.earn(request.workspace->name, stage, m_context.policy().retryBudget);
            m_context.hedges.earn(request.workspace->name, stage, m_context.policy().hedgeBudget);
        }
        return;
    }
    if (!request.boundToHome()) {
        m_answers.giveUp(request, Reason::NoEndpoint, m_context.policy().ejectionTime);
    }
}

void StageDriver::releaseHeld()
{
    for (const RequestId &id : std::exchange(m_context.held, {})) {
        Request *request = m_context.requests.find(id);
        if (request && request->runs.empty()) {
            start(*request);
        }
    }
}

void StageDriver::leaveStagePending(Request &request)
{
    if (request.pendingFrom > request.stage) {
        return;
    }
    const Stage &stage = presentStage(request);
    m_context.admission.stageLeft(request.workspace->name, stage.pool, request.costs[request.stage]);
    request.pendingFrom = request.stage + 1;
}

bool StageDriver::dispatch(Request &request, bool mayTry)
{
    if (m_context.paused || (request.home && request.home->sealing)) {
        return false;
    }
    const auto placed = place(request, mayTry);
    if (!placed) {
        return false;
    }
    ++request.attempt;
    ++request.tries;
    addRun(request, *placed);
    const Run &run = request.runs.back();
    m_context.send(run.side, messageFor(request, run));
    setTimers(request, run);
    return true;
}

void StageDriver::addRun(Request &request, const Placed &placed)
{
    const RunId id{request.id, request.stage, request.attempt};
    const Duration cost = request.costs[request.stage];
    const InstanceName &side = m_context.table.endpoint(placed.number).name;
    Run &run = request.runs.emplace_back(id, side, placed.number, m_context.policy().maxResultBytes);
    run.cost = cost;
    run.trial = placed.trial;
    run.dispatched = m_context.now;
    run.heard = m_context.now;
    run.epoch = m_context.peers.at(side).epoch;
    if (request.boundToHome()) {
        run.serial = request.home->serial;
        request.home->dispatched = true;
    }
    ++request.unconfirmed;
    m_context.table.runSent(placed.number, cost);
}

void StageDriver::setTimers(const Request &request, const Run &run)
{
    const Policy &policy = m_context.policy();
    const RunId &id = run.id;
    m_context.timers.set(
        {m_context.now + policy.progressTimeout, TimerKind::Progress, id.request, id.stage, id.attempt});
    if (!mayRepeat(request, run) || request.runs.size() > 1 || (request.streaming && request.atLastStage())) {
        return;
    }
    const auto delay =
        m_context.hedging.delay(request.pipeline->name, presentStage(request).name, run.cost, policy.hedgeQuantile);
    if (delay) {
        m_context.timers.set({m_context.now + *delay, TimerKind::Hedge, id.request, id.stage, id.attempt});
    }
}

StartRun StageDriver::messageFor(const Request &request, const Run &run) const
{
    const Stage &stage = presentStage(request);
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
        message.following += request.costs[index];
    }
    message.maxTokens = stage.maxTokens > 0 ? static_cast<std::uint32_t>(message.size) : 0;
    message.streaming = request.streaming && request.atLastStage();
    message.prefix = request.prefix;
    message.body = request.body;
    message.previous = request.previous;
    return message;
}

void StageDriver::resend(const Request &request, const Run &run)
{
    m_context.send(run.side, messageFor(request, run));
}

void StageDriver::follow(Request &request, const RunId &id)
{
    const auto isRun = [&id](const Run &run) {
        return run.id == id;
    };
    const auto number = m_context.table.find(request.home->side);
    if (!number || std::any_of(request.runs.begin(), request.runs.end(), isRun)) {
        return;
    }
    cancelOthers(request, id);
    request.stage = static_cast<std::uint32_t>(request.pipeline->stages.size() - 1);
    leaveStagePending(request);
    request.attempt = id.attempt;
    addRun(request, Placed{*number, Duration::zero(), false});
    setTimers(request, request.runs.back());
}

void StageDriver::relay(Request &request, const Run &run)
{
    if (!request.streaming || !request.atLastStage() || !request.callerWaits) {
        return;
    }
    const std::string &bytes = run.result.bytes();
    if (bytes.size() <= request.relayed) {
        return;
    }
    m_context.effects.emplace_back(CallerPiece{request.call, bytes.substr(request.relayed)});
    request.relayed = bytes.size();
}

void StageDriver::remove(Request &request, const Run &run)
{
    m_context.table.runEnded(run.number, run.cost);
    const auto isRun = [&run](const Run &other) {
        return other.id == run.id;
    };
    request.runs.erase(std::find_if(request.runs.begin(), request.runs.end(), isRun));
}

void StageDriver::cancelOthers(Request &request, const RunId &winner)
{
    for (const Run &run : request.runs) {
        if (run.id != winner) {
            m_answers.cancelRun(request, run);
        }
    }
    std::erase_if(request.runs, [&winner](const Run &run) { return run.id != winner; });
}

void StageDriver::advance(Request &request, Run &run)
{
    const RunFinished finished = *run.finished;
    m_context.estimator.learn(serviceKey(request), finished.service);
    m_context.hedging.learn(request.pipeline->name, presentStage(request).name, run.cost,
                            m_context.now - run.dispatched);
    m_context.ejector.completed(run.number, run.cost, finished.service);
    request.spent[request.stage] += finished.service;
    request.tokens = finished.tokens;
    const std::string result = run.result.take();
    const RunId id = run.id;
    remove(request, run);
    cancelOthers(request, id);
    if (request.atLastStage()) {
        m_answers.complete(request, result);
        return;
    }
    request.previous = result;
    ++request.stage;
    request.attempt = 0;
    request.tries = 0;
    request.avoided.clear();
    start(request);
}

bool StageDriver::mayRepeat(const Request &request, const Run &run) const
{
    // What was relayed cannot be taken back, and another run may generate something else.
    const bool relayed = request.atLastStage() && request.relayed > 0;
    return run.serial == noSerial && !relayed && m_context.now < request.deadline
        && request.tries < m_context.policy().maxAttempts;
}

void StageDriver::runLost(Request &request, Run &run, Reason reason, Duration retryAfter)
{
    const bool repeatable = mayRepeat(request, run);
    const StageName &stage = presentStage(request).name;
    request.avoided.push_back(run.side);
    if (reason == Reason::Fenced) {
        request.attempt += fencedStep;
        request.avoided.pop_back();
    }
    remove(request, run);
    if (!request.runs.empty()) {
        return;
    }
    if (m_context.paused && repeatable) {
        m_context.held.push_back(request.id);
        return;
    }
    const bool paid =
        repeatable && (refusedForItself(reason) || m_context.retries.spend(request.workspace->name, stage));
    if (paid && dispatchAgain(request, reason)) {
        m_context.observe(Metric::RetriesTotal, {stage.text()});
        return;
    }
    m_answers.giveUp(request, reason, retryAfter);
}

// Load: a pool of one endpoint, or of few while others are ejected. Harm prevented: a request given up although its
// only side stands by. A side that has lost a run with its connection has not failed it, so it may have the next one;
// after a failure or a refusal the same side would most likely say the same again.
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

bool StageDriver::moveElsewhere(Request &request, Run &run)
{
    if (!mayRepeat(request, run)) {
        return false;
    }
    const StageName &stage = presentStage(request).name;
    const RunId id = run.id;
    request.avoided.push_back(run.side);
    if (request.runs.size() == 1) {
        if (!m_context.retries.spend(request.workspace->name, stage) || !dispatch(request, true)) {
            request.avoided.pop_back();
            return false;
        }
        m_context.observe(Metric::RetriesTotal, {stage.text()});
    }
    const auto isRun = [&id](const Run &other) {
        return other.id == id;
    };
    const auto lost = std::find_if(request.runs.begin(), request.runs.end(), isRun);
    m_answers.cancelRun(request, *lost);
    request.runs.erase(lost);
    return true;
}

void StageDriver::hedge(Request &request)
{
    const Run &slow = request.runs.front();
    if (request.runs.size() != 1 || !mayRepeat(request, slow)) {
        return;
    }
    const StageName &stage = presentStage(request).name;
    request.avoided.push_back(slow.side);
    if (hasRoomForHedge(request) && m_context.hedges.spend(request.workspace->name, stage)
        && dispatch(request, false)) {
        m_context.observe(Metric::HedgesTotal, {stage.text()});
        return;
    }
    request.avoided.pop_back();
}

// A second run that queues takes the place of somebody's first one: under saturation everything is slow, and hedging
// only adds to it.
bool StageDriver::hasRoomForHedge(const Request &request)
{
    const auto wait = m_context.placement.estimateWait(queryFor(request, false), m_context.policy(), m_context.now);
    return wait && *wait <= request.costs[request.stage] / 4;
}

} // namespace bergamottide
