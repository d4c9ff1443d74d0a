#include "bergamottide/entry/answers.h"

#include "bergamottide/entry/outcomerule.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Label of requests that name no kind. */
const char *const ordinaryKind = "default";

std::string kindLabel(const Request &request)
{
    return request.kind.name.empty() ? ordinaryKind : request.kind.name.text();
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Answers::Answers(EntryContext &context)
    : m_context{context}
{
}

void Answers::refuse(CallId call, const RequestId &request, Outcome outcome, Reason reason, std::string field,
                     Duration retryAfter)
{
    m_context.observe(Metric::RefusalsTotal, {std::string{enumName(reason)}});
    m_context.log(Severity::Info, "Request refused.",
                  {{"request", request.text()},
                   {"reason", std::string{enumName(reason)}},
                   {"outcome", std::string{enumName(outcome)}}});
    CallerAnswer answer;
    answer.call = call;
    answer.request = request;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.field = std::move(field);
    answer.retryAfter = retryAfter;
    m_context.effects.emplace_back(std::move(answer));
}

std::optional<Ticket> Answers::ticketOf(const Request &request)
{
    if (!request.home || request.home->serial == noSerial) {
        return std::nullopt;
    }
    return Ticket{request.id, request.workspace->name, request.home->side, request.home->incarnation,
                  request.home->serial};
}

void Answers::complete(Request &request, const std::string &result)
{
    CallerAnswer answer;
    answer.outcome = Outcome::Completed;
    answer.body = result.substr(std::min<std::size_t>(request.relayed, result.size()));
    answer.tokens = request.tokens;
    const bool onTime = m_context.now <= request.deadline;
    if (onTime) {
        m_context.observe(Metric::RequestsOnTimeTotal, {request.workspace->name.text(), kindLabel(request)});
    }
    countSpent(request, onTime);
    end(request, std::move(answer));
}

void Answers::giveUp(Request &request, Reason reason, Duration retryAfter)
{
    if (!request.home || request.home->serial == noSerial || request.home->state == LedgerState::Sealed) {
        finish(request, reason, retryAfter);
        return;
    }
    Home &home = *request.home;
    if (home.sealing) {
        return;
    }
    home.sealing = true;
    request.givenUp = reason;
    request.retryAfter = retryAfter;
    m_context.send(home.side, SealRequest{request.id, home.incarnation, home.serial});
    m_context.timers.set(
        {m_context.now + m_context.policy().progressTimeout, TimerKind::Home, request.id, 0, ++home.timer});
}

void Answers::finish(Request &request, Reason reason, Duration retryAfter)
{
    CallerAnswer answer;
    answer.outcome = outcomeWithoutResult(request);
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    countSpent(request, false);
    m_context.observe(Metric::RefusalsTotal, {std::string{enumName(reason)}});
    m_context.log(Severity::Info, "Request ended without its result.",
                  {{"request", request.id.text()},
                   {"reason", std::string{enumName(reason)}},
                   {"outcome", std::string{enumName(answer.outcome)}}});
    end(request, std::move(answer));
}

void Answers::end(Request &request, CallerAnswer answer)
{
    cancelRuns(request);
    for (std::size_t stage = request.pendingFrom; stage < request.costs.size(); ++stage) {
        m_context.admission.stageLeft(request.workspace->name, request.pipeline->stages[stage].pool,
                                      request.costs[stage]);
    }
    m_context.admission.ended(request.workspace->name);
    m_context.observe(Metric::RequestsTotal,
                      {request.workspace->name.text(), kindLabel(request), std::string{enumName(answer.outcome)}});
    if (request.callerWaits) {
        answer.call = request.call;
        answer.request = request.id;
        answer.ticket = ticketOf(request);
        m_context.effects.emplace_back(std::move(answer));
    }
    m_context.requests.remove(request);
}

void Answers::cancelRuns(Request &request)
{
    for (const Run &run : request.runs) {
        cancelRun(request, run);
    }
    request.runs.clear();
}

void Answers::cancelRun(const Request &request, const Run &run)
{
    m_context.table.runEnded(run.number, run.cost);
    if (run.started) {
        m_context.ejector.abandoned(run.number, run.cost, m_context.now - *run.started);
    } else {
        m_context.ejector.trialUndecided(run.number);
    }
    if (run.serial != noSerial || run.finished) {
        return;
    }
    m_context.send(run.side, CancelRun{run.id, noSerial});
    if (run.started) {
        m_context.observe(Metric::StageWastedSecondsTotal,
                          {request.pipeline->stages[run.id.stage].name.text(), request.workspace->name.text()},
                          seconds(m_context.now - *run.started));
    }
}

void Answers::countSpent(const Request &request, bool useful)
{
    const Metric metric = useful ? Metric::StageUsefulSecondsTotal : Metric::StageWastedSecondsTotal;
    for (std::size_t stage = 0; stage < request.spent.size(); ++stage) {
        if (request.spent[stage] <= Duration::zero()) {
            continue;
        }
        m_context.observe(metric, {request.pipeline->stages[stage].name.text(), request.workspace->name.text()},
                          seconds(request.spent[stage]));
    }
}

} // namespace bergamottide
