#include "bergamottide/entry/runtracker.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Tells if the end of a run says that its endpoint is at fault. */
bool blamesEndpoint(Reason reason)
{
    return reason == Reason::EndpointFailed || reason == Reason::EndpointSilent || reason == Reason::ConnectionLost
        || reason == Reason::Internal;
}

/*! @brief Tells if a refusal comes from another incarnation than the one that gave the serial. */
bool serialForgotten(Reason reason)
{
    return reason == Reason::WrongIncarnation || reason == Reason::UnknownTicket;
}

} // namespace

RunTracker::RunTracker(EntryContext &context, Answers &answers, StageDriver &driver)
    : m_context{context}
    , m_answers{answers}
    , m_driver{driver}
{
}

Run *RunTracker::findRun(const InstanceName &from, const RunId &id)
{
    Request *request = m_context.requests.find(id.request);
    if (!request) {
        return nullptr;
    }
    const auto matches = [&](const Run &run) {
        return run.id == id && run.side == from;
    };
    const auto found = std::find_if(request->runs.begin(), request->runs.end(), matches);
    return found == request->runs.end() ? nullptr : &*found;
}

bool RunTracker::progress(const InstanceName &from, const RunProgress &message)
{
    Run *run = findRun(from, message.run);
    if (!run) {
        return false;
    }
    Request &request = *m_context.requests.find(message.run.request);
    run->heard = m_context.now;
    run->asked = 0;
    if (message.state == RunState::Running && !run->started) {
        run->started = m_context.now;
    }
    if (message.piece.empty()) {
        return true;
    }
    if (run->result.add(message.offset, message.piece) == PieceResult::TooLarge) {
        m_context.send(run->side, CancelRun{run->id, run->serial});
        m_driver.runLost(request, *run, Reason::AnswerTooLarge, Duration::zero());
        return true;
    }
    m_driver.relay(request, *run);
    checkWhole(request, *run);
    return true;
}

bool RunTracker::finished(const InstanceName &from, const RunFinished &message)
{
    Run *run = findRun(from, message.run);
    if (!run) {
        return false;
    }
    Request &request = *m_context.requests.find(message.run.request);
    run->heard = m_context.now;
    run->asked = 0;
    if (message.state == RunState::Completed) {
        run->finished = message;
        run->result.finish(message.length, message.digest);
        checkWhole(request, *run);
        return true;
    }
    m_context.send(from, RunAcknowledged{message.run});
    request.spent[request.stage] += message.service;
    if (message.state == RunState::NotStarted) {
        notStarted(request, *run, message);
        return true;
    }
    failed(request, *run, message.reason, message.retryAfter);
    return true;
}

void RunTracker::checkWhole(Request &request, Run &run)
{
    if (!run.finished || !run.result.whole()) {
        return;
    }
    m_context.send(run.side, RunAcknowledged{run.id});
    if (run.result.verified()) {
        m_driver.advance(request, run);
        return;
    }
    m_context.log(Severity::Error, "Result does not match its digest.",
                  {{"request", run.id.request.text()}, {"side", run.side.text()}});
    failed(request, run, Reason::Internal, Duration::zero());
}

void RunTracker::notStarted(Request &request, Run &run, const RunFinished &message)
{
    if (run.serial != noSerial && serialForgotten(message.reason)) {
        // Another incarnation refuses it; the one that gave the serial may have started it before it died.
        m_answers.finish(request, message.reason, message.retryAfter);
        return;
    }
    // After a new stream the refusal may be that of a restarted side to a repeated message.
    if (run.epoch == m_context.peers.at(run.side).epoch) {
        --request.unconfirmed;
        if (run.serial != noSerial) {
            request.home->dispatched = false;
        }
    }
    if (message.reason == Reason::Draining) {
        m_context.table.setDraining(run.side, true);
    }
    if (message.reason == Reason::EndpointFailed) {
        m_context.ejector.failed(run.number);
    } else {
        m_context.ejector.trialUndecided(run.number);
    }
    if (message.reason == Reason::DeadlineExceeded) {
        m_answers.giveUp(request, message.reason, message.retryAfter);
        return;
    }
    m_driver.runLost(request, run, message.reason, message.retryAfter);
}

void RunTracker::failed(Request &request, Run &run, Reason reason, Duration retryAfter)
{
    if (blamesEndpoint(reason)) {
        m_context.ejector.failed(run.number);
    } else {
        m_context.ejector.trialUndecided(run.number);
    }
    if (run.serial != noSerial) {
        // It ran, or may have: nothing is left to seal.
        m_answers.finish(request, reason, retryAfter);
        return;
    }
    m_driver.runLost(request, run, reason, retryAfter);
}

} // namespace bergamottide
