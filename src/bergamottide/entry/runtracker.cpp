#include "bergamottide/entry/runtracker.h"

#include <algorithm>

namespace bergamottide {

RunTracker::RunTracker(EntryContext &context, StageDriver &driver)
    : m_context{context}
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

void RunTracker::progress(const InstanceName &from, const RunProgress &message)
{
    Run *run = findRun(from, message.run);
    if (!run) {
        m_context.observe(Metric::DroppedMessagesTotal, {"run_progress"});
        return;
    }
    Request &request = *m_context.requests.find(message.run.request);
    run->heard = m_context.now;
    run->asked = 0;
    if (message.state == RunState::Running && !run->started) {
        run->started = m_context.now;
    }
    if (message.piece.empty()) {
        return;
    }
    if (run->result.add(message.offset, message.piece) == PieceResult::TooLarge) {
        m_context.send(run->side, CancelRun{run->id, run->serial});
        failed(request, *run, Reason::AnswerTooLarge, Duration::zero());
        return;
    }
    m_driver.relay(request, *run);
    checkWhole(request, *run);
}

void RunTracker::finished(const InstanceName &from, const RunFinished &message)
{
    Run *run = findRun(from, message.run);
    if (!run) {
        // The side repeats the end until it is acknowledged, also to an entry that has given the run up.
        m_context.send(from, RunAcknowledged{message.run});
        m_context.observe(Metric::DroppedMessagesTotal, {"run_finished"});
        return;
    }
    Request &request = *m_context.requests.find(message.run.request);
    run->heard = m_context.now;
    run->asked = 0;
    if (message.state == RunState::Completed) {
        run->finished = message;
        run->result.finish(message.length, message.digest);
        checkWhole(request, *run);
        return;
    }
    m_context.send(from, RunAcknowledged{message.run});
    request.spent[request.stage] += message.service;
    if (message.state == RunState::NotStarted) {
        notStarted(request, *run, message);
        return;
    }
    failed(request, *run, message.reason, message.retryAfter);
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
    --request.unconfirmed;
    if (message.reason == Reason::Draining) {
        m_context.table.setDraining(run.side, true);
    }
    m_driver.runLost(request, run, message.reason, message.retryAfter);
}

void RunTracker::failed(Request &request, Run &run, Reason reason, Duration retryAfter)
{
    m_driver.runLost(request, run, reason, retryAfter);
}

} // namespace bergamottide
