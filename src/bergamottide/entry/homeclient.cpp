#include "bergamottide/entry/homeclient.h"

#include "bergamottide/ledger/keyownership.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Unanswered attempts to open a request with an idempotency key before it is given up. */
constexpr std::uint32_t maxOpenAttempts = 3;
/*! @brief Maximum number of times that the interval between queries is doubled. */
constexpr std::uint32_t maxBackoffDoublings = 3;

} // namespace

HomeClient::HomeClient(EntryContext &context, RequestFinisher &finisher, StageDriver &driver)
    : m_context{context}
    , m_finisher{finisher}
    , m_driver{driver}
{
}

InstanceName HomeClient::chooseHome(const Request &request)
{
    const Stage &last = request.pipeline->stages.back();
    if (request.keyed) {
        return homeForKey(request.id, *m_context.view, last.pool);
    }
    const PlacementQuery query{last.pool,      request.binding->model, request.workspace->name,
                               request.prefix, request.costs.back(),   false,
                               request.avoided};
    const auto placed = m_context.placement.choose(query, m_context.policy(), m_context.now);
    return placed ? m_context.table.endpoint(placed->number).name : InstanceName{};
}

void HomeClient::open(Request &request)
{
    const InstanceName sidecar = chooseHome(request);
    if (sidecar.empty() || !m_context.peers.connected(sidecar)) {
        m_finisher.giveUp(request, Reason::NoEndpoint, m_context.policy().ejectionTime);
        return;
    }
    ++request.homesTried;
    Home home;
    home.sidecar = sidecar;
    home.resumed = request.keyed;
    home.timer = request.home ? request.home->timer : 0;
    request.home = home;
    sendOpen(request);
}

void HomeClient::sendOpen(Request &request)
{
    m_context.send(request.home->sidecar,
                   OpenRequest{request.id, request.workspace->name, request.deadline - m_context.now, request.keyed});
    setTimer(request);
}

void HomeClient::setTimer(Request &request)
{
    Home &home = *request.home;
    const Duration delay =
        m_context.policy().progressTimeout * (1U << std::min(home.unansweredQueries, maxBackoffDoublings));
    m_context.timers.set({m_context.now + delay, TimerKind::Home, request.id, 0, ++home.timer});
}

void HomeClient::resume(Request &request, const Ticket &ticket)
{
    Home home;
    home.sidecar = ticket.home;
    home.incarnation = ticket.incarnation;
    home.serial = ticket.serial;
    home.resumed = true;
    request.home = home;
    attach(request);
}

void HomeClient::attach(Request &request)
{
    const Home &home = *request.home;
    const bool running = request.atLastStage() && !request.runs.empty();
    const std::uint64_t offset = running ? request.runs.front().result.contiguousBytes() : 0;
    m_context.send(home.sidecar, AttachRequest{request.id, home.incarnation, home.serial, offset});
    setTimer(request);
}

void HomeClient::handleOpened(const InstanceName &from, const RequestOpened &message)
{
    Request *request = m_context.requests.find(message.request);
    if (!request || !request->home || request->home->sidecar != from || request->home->serial != noSerial) {
        m_context.observe(Metric::DroppedMessagesTotal, {"request_opened"});
        return;
    }
    Home &home = *request->home;
    home.incarnation = message.incarnation;
    home.serial = message.serial;
    home.unansweredQueries = 0;
    if (request->callerWaits) {
        m_context.effects.emplace_back(SendTicket{request->call, *RequestFinisher::ticketOf(*request)});
    }
    if (message.state == LedgerState::Queued || message.state == LedgerState::Running
        || message.state == LedgerState::Finished) {
        // An earlier submission of the same key has started the last stage: wait for its result.
        attach(*request);
        return;
    }
    applyState(*request, message.state, RunId{});
}

void HomeClient::handleOpenRefused(const InstanceName &from, const OpenRefused &message)
{
    Request *request = m_context.requests.find(message.request);
    if (!request || !request->home || request->home->sidecar != from || request->home->serial != noSerial) {
        m_context.observe(Metric::DroppedMessagesTotal, {"open_refused"});
        return;
    }
    if (message.reason == Reason::Draining) {
        m_context.table.setDraining(from, true);
    }
    request->avoided.push_back(from);
    if (request->keyed || request->homesTried >= m_context.policy().maxAttempts) {
        m_finisher.giveUp(*request, message.reason, message.retryAfter);
        return;
    }
    open(*request);
}

void HomeClient::handleRequestState(const InstanceName &from, const RequestState &message)
{
    Request *request = m_context.requests.find(message.request);
    if (!request || !request->home || request->home->sidecar != from || request->home->serial == noSerial) {
        return;
    }
    Home &home = *request->home;
    home.unansweredQueries = 0;
    ++home.timer;
    if (message.state == LedgerState::Absent) {
        handleAbsent(*request, message.incarnation);
        return;
    }
    if (message.serial == home.serial && message.incarnation == home.incarnation) {
        applyState(*request, message.state, message.run);
    }
}

void HomeClient::applyState(Request &request, LedgerState state, const RunId &run)
{
    Home &home = *request.home;
    home.state = state;
    if (state == LedgerState::Sealed) {
        handleSealed(request);
        return;
    }
    if (home.sealRequested) {
        // Too late to seal: the last stage has been queued or has run.
        m_finisher.finish(request, request.giveUpReason, request.retryAfter);
        return;
    }
    if (state == LedgerState::Opened) {
        startOrResend(request);
        return;
    }
    m_driver.follow(request, run);
}

// The home reports that the last stage has not been queued. If its run was sent, the message was lost; it is repeated.
void HomeClient::startOrResend(Request &request)
{
    if (request.runs.empty()) {
        m_driver.start(request);
        return;
    }
    if (request.boundToHome()) {
        StageRun &run = request.runs.front();
        run.lastMessageAt = m_context.now;
        m_driver.resend(request, run);
    }
}

void HomeClient::handleSealed(Request &request)
{
    const auto bound = [](const StageRun &run) {
        return run.serial != noSerial;
    };
    if (std::any_of(request.runs.begin(), request.runs.end(), bound)) {
        --request.unconfirmedRuns;
    }
    const Reason reason = request.home->sealRequested ? request.giveUpReason : Reason::Sealed;
    m_finisher.finish(request, reason, request.retryAfter);
}

// The home does not know the serial. A new incarnation rejects the serials of earlier ones; if this entry has sent no
// run and no other entry handled the request, the last stage has not run and never will.
void HomeClient::handleAbsent(Request &request, Incarnation incarnation)
{
    Home &home = *request.home;
    const bool restarted = incarnation != home.incarnation;
    if (restarted && !home.runDispatched && !home.resumed && request.callerWaits) {
        home.state = LedgerState::Sealed;
    }
    const Reason reason = restarted ? Reason::WrongIncarnation : Reason::UnknownTicket;
    m_finisher.finish(request, home.sealRequested ? request.giveUpReason : reason, request.retryAfter);
}

void HomeClient::handleTimeout(Request &request, std::uint64_t timer)
{
    if (!request.home || request.home->timer != timer) {
        return;
    }
    Home &home = *request.home;
    ++home.unansweredQueries;
    if (home.sealRequested) {
        m_finisher.finish(request, request.giveUpReason, request.retryAfter);
        return;
    }
    if (home.serial != noSerial) {
        attach(request);
        return;
    }
    if (request.keyed && home.unansweredQueries < maxOpenAttempts) {
        sendOpen(request);
        return;
    }
    request.avoided.push_back(home.sidecar);
    if (request.keyed || request.homesTried >= m_context.policy().maxAttempts) {
        m_finisher.giveUp(request, Reason::NoEndpoint, m_context.policy().ejectionTime);
        return;
    }
    open(request);
}

void HomeClient::handleReconnect(Request &request)
{
    const Home &home = *request.home;
    if (home.sealRequested) {
        m_context.send(home.sidecar, SealRequest{request.id, home.incarnation, home.serial});
        return;
    }
    if (home.serial == noSerial) {
        sendOpen(request);
        return;
    }
    if (request.boundToHome() || request.runs.empty()) {
        attach(request);
    }
}

} // namespace bergamottide
