#include "bergamottide/entry/intake.h"

#include "bergamottide/core/error.h"
#include "bergamottide/entry/outcomerule.h"

#include <utility>

namespace bergamottide {

Intake::Intake(EntryContext &context, RequestFinisher &finisher, StageDriver &driver, HomeClient &homeClient,
               Fetches &fetches)
    : m_context{context}
    , m_finisher{finisher}
    , m_driver{driver}
    , m_homeClient{homeClient}
    , m_fetches{fetches}
{
}

Reason Intake::refusalReason() const
{
    if (!m_context.index || !m_context.view) {
        return Reason::StaleView;
    }
    if (m_context.draining) {
        return Reason::Draining;
    }
    return m_context.paused ? Reason::Paused : Reason::None;
}

void Intake::handleSubmission(const CallerSubmitted &event)
{
    if (!m_context.index) {
        m_finisher.refuse(event.call, event.request, outcomeOfRefusal(event, true), Reason::StaleView, {},
                          m_context.policy().ejectionTime);
        return;
    }
    const auto checked = checkRequest(*m_context.index, event);
    if (!checked.ok()) {
        m_finisher.refuse(event.call, event.request, Outcome::NotRun, errorReason(checked.status()),
                          errorField(checked.status()), Duration::zero());
        return;
    }
    const Reason reason = refusalReason();
    if (reason != Reason::None) {
        m_finisher.refuse(event.call, event.request, outcomeOfRefusal(event, checked->atMostOnce), reason, {},
                          m_context.policy().reportPeriod);
        return;
    }
    const RequestId id = event.ticket ? event.ticket->request : event.request;
    if (m_context.requests.find(id)) {
        joinInProgress(event, *checked);
        return;
    }
    start(event, *checked);
}

// Only a caller with the ticket may wait for the result of the request in progress.
void Intake::joinInProgress(const CallerSubmitted &event, const CheckedRequest &checked)
{
    if (!event.ticket) {
        m_finisher.refuse(event.call, event.request, Outcome::Unknown, Reason::DuplicateRequest, "request",
                          m_context.policy().reportPeriod);
        return;
    }
    m_fetches.fetch({event.call, event.keyDigest, *event.ticket, 0, event.streaming, checked.deadline});
}

std::unique_ptr<Request> Intake::makeRequest(const CallerSubmitted &event, const CheckedRequest &checked) const
{
    auto request = std::make_unique<Request>();
    request->call = event.call;
    request->id = event.ticket ? event.ticket->request : event.request;
    request->keyed = event.hasIdempotencyKey;
    request->streaming = event.streaming;
    request->atMostOnce = checked.atMostOnce;
    request->index = m_context.index;
    request->workspace = checked.workspace;
    request->pipeline = checked.pipeline;
    request->binding = checked.binding;
    request->kind = checked.kind;
    request->arrived = m_context.now;
    request->deadline = m_context.now + checked.deadline;
    request->maxTokens = event.maxTokens;
    request->prefix = event.prefix;
    request->body = event.body;
    m_driver.estimateCosts(*request);
    return request;
}

bool Intake::admit(const CallerSubmitted &event, const CheckedRequest &checked, Request &request)
{
    const AdmissionQuery query{*checked.workspace, *checked.pipeline, checked.binding->model, request.kind,
                               request.prefix,     request.costs,     checked.deadline};
    const AdmissionDecision decision =
        m_context.admission.decide(query, m_context.policy(), m_context.entryCount, m_context.now);
    if (decision.reason == Reason::None) {
        m_context.admission.requestAdmitted(query);
        return true;
    }
    m_finisher.refuse(event.call, request.id, outcomeOfRefusal(event, checked.atMostOnce), decision.reason, {},
                      decision.retryAfter);
    return false;
}

void Intake::start(const CallerSubmitted &event, const CheckedRequest &checked)
{
    auto made = makeRequest(event, checked);
    if (!admit(event, checked, *made)) {
        return;
    }
    Request &request = m_context.requests.add(std::move(made));
    m_context.timers.set({request.deadline, TimerKind::Deadline, request.id, 0, 0});
    if (event.ticket) {
        m_homeClient.resume(request, *event.ticket);
        return;
    }
    if (checked.needsHome) {
        m_homeClient.open(request);
        return;
    }
    m_driver.start(request);
}

bool Intake::checkTicketHolder(CallId call, const std::string &keyDigest, const Ticket &ticket)
{
    absl::Status status = makeError(Reason::StaleView, {}, "No configuration document has been loaded yet.");
    if (m_context.index) {
        const auto workspace = checkKey(*m_context.index, keyDigest);
        status = workspace.ok() ? checkTicket(**workspace, ticket) : workspace.status();
    }
    if (status.ok()) {
        return true;
    }
    m_finisher.refuse(call, ticket.request, Outcome::Unknown, errorReason(status), errorField(status),
                      Duration::zero());
    return false;
}

void Intake::handleFetch(const FetchRequested &event)
{
    if (!checkTicketHolder(event.call, event.keyDigest, event.ticket)) {
        return;
    }
    if (m_context.draining) {
        m_finisher.refuse(event.call, event.ticket.request, Outcome::Unknown, Reason::Draining, {},
                          m_context.policy().reportPeriod);
        return;
    }
    m_fetches.fetch(event);
}

void Intake::handleCancel(const CancelRequested &event)
{
    if (!checkTicketHolder(event.call, event.keyDigest, event.ticket)) {
        return;
    }
    m_fetches.cancel(event);
    Request *request = m_context.requests.find(event.ticket.request);
    if (request && request->home && request->home->serial == event.ticket.serial) {
        m_finisher.giveUp(*request, Reason::Canceled, Duration::zero());
    }
}

// A request without a ticket is stopped, since its result cannot be fetched later. A request opened at a home
// continues; its result can be fetched with the ticket.
void Intake::handleCallerGone(const CallerGone &event)
{
    if (m_fetches.removeCall(event.call)) {
        return;
    }
    Request *request = m_context.requests.findByCall(event.call);
    if (!request) {
        return;
    }
    request->callerWaits = false;
    if (!request->home || request->home->serial == noSerial) {
        m_finisher.finish(*request, Reason::CallerGone, Duration::zero());
    }
}

} // namespace bergamottide
