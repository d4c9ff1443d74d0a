#include "bergamottide/entry/runtracker.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Returns whether a failed run counts as a failure of its endpoint. */
bool blamesEndpoint(Reason reason)
{
    return reason == Reason::EndpointFailed || reason == Reason::EndpointSilent || reason == Reason::ConnectionLost
        || reason == Reason::Internal;
}

/*! @brief Returns whether the sidecar refused a run because it does not know the serial. */
bool serialUnknown(Reason reason)
{
    return reason == Reason::WrongIncarnation || reason == Reason::UnknownTicket;
}

} // namespace

RunTracker::RunTracker(EntryContext &context, RequestFinisher &finisher, StageDriver &driver)
    : m_context{context}
    , m_finisher{finisher}
    , m_driver{driver}
{
}

StageRun *RunTracker::findRun(const InstanceName &from, const RunId &id)
{
    Request *request = m_context.requests.find(id.request);
    if (!request) {
        return nullptr;
    }
    const auto matches = [&](const StageRun &run) {
        return run.id == id && run.sidecar == from;
    };
    const auto found = std::find_if(request->runs.begin(), request->runs.end(), matches);
    return found == request->runs.end() ? nullptr : &*found;
}

bool RunTracker::handleProgress(const InstanceName &from, const RunProgress &message)
{
    StageRun *run = findRun(from, message.run);
    if (!run) {
        return false;
    }
    Request &request = *m_context.requests.find(message.run.request);
    run->lastMessageAt = m_context.now;
    run->progressTimeouts = 0;
    if (message.state == RunState::Running && !run->startedAt) {
        run->startedAt = m_context.now;
    }
    if (message.piece.empty()) {
        return true;
    }
    if (run->result.add(message.offset, message.piece) == PieceResult::TooLarge) {
        m_context.send(run->sidecar, CancelRun{run->id, run->serial});
        m_driver.runLost(request, *run, Reason::AnswerTooLarge, Duration::zero());
        return true;
    }
    m_driver.relay(request, *run);
    checkComplete(request, *run);
    return true;
}

bool RunTracker::handleFinished(const InstanceName &from, const RunFinished &message)
{
    StageRun *run = findRun(from, message.run);
    if (!run) {
        return false;
    }
    Request &request = *m_context.requests.find(message.run.request);
    run->lastMessageAt = m_context.now;
    run->progressTimeouts = 0;
    if (message.state == RunState::Completed) {
        run->finished = message;
        run->result.finish(message.length, message.digest);
        checkComplete(request, *run);
        return true;
    }
    m_context.send(from, RunAcknowledged{message.run});
    request.serviceTimeSpent[request.stage] += message.serviceTime;
    if (message.state == RunState::NotStarted) {
        handleNotStarted(request, *run, message);
        return true;
    }
    handleFailed(request, *run, message.reason, message.retryAfter);
    return true;
}

void RunTracker::checkComplete(Request &request, StageRun &run)
{
    if (!run.finished || !run.result.isComplete()) {
        return;
    }
    m_context.send(run.sidecar, RunAcknowledged{run.id});
    if (run.result.isVerified()) {
        m_driver.advance(request, run);
        return;
    }
    m_context.log(Severity::Error, "Result does not match its digest.",
                  {{"request", run.id.request.text()}, {"side", run.sidecar.text()}});
    handleFailed(request, run, Reason::Internal, Duration::zero());
}

void RunTracker::handleNotStarted(Request &request, StageRun &run, const RunFinished &message)
{
    if (run.serial != noSerial && serialUnknown(message.reason)) {
        // The incarnation that issued the serial may have started the run before it failed.
        m_finisher.finish(request, message.reason, message.retryAfter);
        return;
    }
    // If the stream was reopened, the refusal may come from a restarted sidecar that received a repeated message.
    if (run.streamEpoch == m_context.peers.at(run.sidecar).streamEpoch) {
        --request.unconfirmedRuns;
        if (run.serial != noSerial) {
            request.home->runDispatched = false;
        }
    }
    if (message.reason == Reason::Draining) {
        m_context.table.setDraining(run.sidecar, true);
    }
    if (message.reason == Reason::EndpointFailed) {
        m_context.ejector.recordFailure(run.endpoint);
    } else {
        m_context.ejector.releaseTrial(run.endpoint);
    }
    if (message.reason == Reason::DeadlineExceeded) {
        m_finisher.giveUp(request, message.reason, message.retryAfter);
        return;
    }
    m_driver.runLost(request, run, message.reason, message.retryAfter);
}

void RunTracker::handleFailed(Request &request, StageRun &run, Reason reason, Duration retryAfter)
{
    if (blamesEndpoint(reason)) {
        m_context.ejector.recordFailure(run.endpoint);
    } else {
        m_context.ejector.releaseTrial(run.endpoint);
    }
    if (run.serial != noSerial) {
        // The run has started or may have; sealing would have no effect.
        m_finisher.finish(request, reason, retryAfter);
        return;
    }
    m_driver.runLost(request, run, reason, retryAfter);
}

} // namespace bergamottide
