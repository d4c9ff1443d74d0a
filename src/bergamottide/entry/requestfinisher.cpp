#include "bergamottide/entry/requestfinisher.h"

#include "bergamottide/entry/outcomerule.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Metric label of requests without a kind. */
const char *const defaultKindLabel = "default";

std::string kindLabel(const Request &request)
{
    return request.kind.name.empty() ? defaultKindLabel : request.kind.name.text();
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RequestFinisher::RequestFinisher(EntryContext &context)
    : m_context{context}
{
}

void RequestFinisher::refuse(CallId call, const RequestId &request, Outcome outcome, Reason reason, std::string field,
                             Duration retryAfter)
{
    m_context.observe(Metric::RefusalsTotal, {std::string{enumName(reason)}});
    m_context.log(Severity::Info, "Request refused.",
                  {{"request", request.text()},
                   {"reason", std::string{enumName(reason)}},
                   {"outcome", std::string{enumName(outcome)}}});
    SendAnswer answer;
    answer.call = call;
    answer.request = request;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.field = std::move(field);
    answer.retryAfter = retryAfter;
    m_context.effects.emplace_back(std::move(answer));
}

std::optional<Ticket> RequestFinisher::ticketOf(const Request &request)
{
    if (!request.home || request.home->serial == noSerial) {
        return std::nullopt;
    }
    return Ticket{request.id, request.workspace->name, request.home->sidecar, request.home->incarnation,
                  request.home->serial};
}

void RequestFinisher::complete(Request &request, const std::string &result)
{
    SendAnswer answer;
    answer.outcome = Outcome::Completed;
    answer.body = result.substr(std::min<std::size_t>(request.relayedBytes, result.size()));
    answer.tokens = request.tokens;
    const bool onTime = m_context.now <= request.deadline;
    if (onTime) {
        m_context.observe(Metric::RequestsOnTimeTotal, {request.workspace->name.text(), kindLabel(request)});
    }
    observeServiceTime(request, onTime);
    end(request, std::move(answer));
}

void RequestFinisher::giveUp(Request &request, Reason reason, Duration retryAfter)
{
    if (!request.home || request.home->serial == noSerial || request.home->state == LedgerState::Sealed) {
        finish(request, reason, retryAfter);
        return;
    }
    Home &home = *request.home;
    if (home.sealRequested) {
        return;
    }
    home.sealRequested = true;
    request.giveUpReason = reason;
    request.retryAfter = retryAfter;
    m_context.send(home.sidecar, SealRequest{request.id, home.incarnation, home.serial});
    m_context.timers.set(
        {m_context.now + m_context.policy().progressTimeout, TimerKind::Home, request.id, 0, ++home.timer});
}

void RequestFinisher::finish(Request &request, Reason reason, Duration retryAfter)
{
    SendAnswer answer;
    answer.outcome = outcomeWithoutResult(request);
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    observeServiceTime(request, false);
    m_context.observe(Metric::RefusalsTotal, {std::string{enumName(reason)}});
    m_context.log(Severity::Info, "Request ended without a result.",
                  {{"request", request.id.text()},
                   {"reason", std::string{enumName(reason)}},
                   {"outcome", std::string{enumName(answer.outcome)}}});
    end(request, std::move(answer));
}

void RequestFinisher::end(Request &request, SendAnswer answer)
{
    cancelRuns(request);
    for (std::size_t stage = request.firstPendingStage; stage < request.costs.size(); ++stage) {
        m_context.admission.removePendingStage(request.workspace->name, request.pipeline->stages[stage].pool,
                                               request.costs[stage]);
    }
    m_context.admission.requestEnded(request.workspace->name);
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

void RequestFinisher::cancelRuns(Request &request)
{
    for (const StageRun &run : request.runs) {
        cancelRun(request, run);
    }
    request.runs.clear();
}

void RequestFinisher::cancelRun(const Request &request, const StageRun &run)
{
    m_context.table.runEnded(run.endpoint, run.cost);
    if (run.startedAt) {
        m_context.ejector.recordCancellation(run.endpoint, run.cost, m_context.now - *run.startedAt);
    } else {
        m_context.ejector.releaseTrial(run.endpoint);
    }
    if (run.serial != noSerial || run.finished) {
        return;
    }
    m_context.send(run.sidecar, CancelRun{run.id, noSerial});
    if (run.startedAt) {
        m_context.observe(Metric::StageWastedSecondsTotal,
                          {request.pipeline->stages[run.id.stage].name.text(), request.workspace->name.text()},
                          seconds(m_context.now - *run.startedAt));
    }
}

void RequestFinisher::observeServiceTime(const Request &request, bool useful)
{
    const Metric metric = useful ? Metric::StageUsefulSecondsTotal : Metric::StageWastedSecondsTotal;
    for (std::size_t stage = 0; stage < request.serviceTimeSpent.size(); ++stage) {
        if (request.serviceTimeSpent[stage] <= Duration::zero()) {
            continue;
        }
        m_context.observe(metric, {request.pipeline->stages[stage].name.text(), request.workspace->name.text()},
                          seconds(request.serviceTimeSpent[stage]));
    }
}

} // namespace bergamottide
