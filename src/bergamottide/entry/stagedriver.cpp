#include "bergamottide/entry/stagedriver.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

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

std::optional<Placed> StageDriver::place(const Request &request)
{
    const Stage &stage = presentStage(request);
    if (request.boundToHome()) {
        const auto number = m_context.table.find(request.home->side);
        const bool reachable = number && m_context.peers.connected(request.home->side);
        return reachable ? std::optional{Placed{*number, Duration::zero(), false}} : std::nullopt;
    }
    const PlacementQuery query{stage.pool,     request.binding->model,       request.workspace->name,
                               request.prefix, request.costs[request.stage], true,
                               request.avoided};
    return m_context.placement.choose(query, m_context.policy(), m_context.now);
}

void StageDriver::start(Request &request)
{
    if (m_context.now >= request.deadline) {
        m_answers.giveUp(request, Reason::DeadlineExceeded, Duration::zero());
        return;
    }
    if (dispatch(request) || request.boundToHome()) {
        // A home that is not connected right now is asked when its stream is back, until the deadline.
        return;
    }
    m_answers.giveUp(request, Reason::NoEndpoint, m_context.policy().ejectionTime);
}

bool StageDriver::dispatch(Request &request)
{
    const auto placed = place(request);
    if (!placed) {
        return false;
    }
    const Duration cost = request.costs[request.stage];
    const RunId id{request.id, request.stage, ++request.attempts};
    Run &run = request.runs.emplace_back(id, m_context.table.endpoint(placed->number).name, placed->number,
                                         m_context.policy().maxResultBytes);
    run.cost = cost;
    run.trial = placed->trial;
    run.dispatched = m_context.now;
    run.heard = m_context.now;
    if (request.boundToHome()) {
        run.serial = request.home->serial;
        request.home->state = LedgerState::Queued;
    }
    ++request.unconfirmed;
    m_context.table.runSent(placed->number, cost);
    m_context.send(run.side, messageFor(request, run));
    m_context.timers.set(
        {m_context.now + m_context.policy().progressTimeout, TimerKind::Progress, id.request, id.stage, id.attempt});
    return true;
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

void StageDriver::forget(Request &request, const Run &run)
{
    m_context.table.runEnded(run.number, run.cost);
    const auto isRun = [&run](const Run &other) {
        return other.id == run.id;
    };
    request.runs.erase(std::find_if(request.runs.begin(), request.runs.end(), isRun));
}

void StageDriver::advance(Request &request, Run &run)
{
    m_context.estimator.learn(serviceKey(request), run.finished->service);
    request.spent[request.stage] += run.finished->service;
    request.tokens = run.finished->tokens;
    const std::string result = run.result.take();
    forget(request, run);
    if (request.atLastStage()) {
        m_answers.complete(request, result);
        return;
    }
    request.previous = result;
    ++request.stage;
    request.attempts = 0;
    request.avoided.clear();
    start(request);
}

void StageDriver::runLost(Request &request, Run &run, Reason reason, Duration retryAfter)
{
    const bool bound = run.serial != noSerial;
    request.avoided.push_back(run.side);
    forget(request, run);
    if (!request.runs.empty()) {
        return;
    }
    const bool relayed = request.atLastStage() && request.relayed > 0;
    const bool mayRepeat = !bound && !relayed && request.attempts < m_context.policy().maxAttempts;
    if (mayRepeat && m_context.now < request.deadline && dispatch(request)) {
        m_context.observe(Metric::RetriesTotal, {presentStage(request).name.text()});
        return;
    }
    m_answers.giveUp(request, reason, retryAfter);
}

} // namespace bergamottide
