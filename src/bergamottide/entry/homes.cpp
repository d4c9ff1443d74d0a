#include "bergamottide/entry/homes.h"

#include "bergamottide/ledger/keyownership.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Questions to a home without an answer before a request that nobody has started is given up. */
constexpr std::uint32_t maxQuestions = 3;
/*! @brief Doublings of the time between two questions at most. */
constexpr std::uint32_t maxDoublings = 3;

} // namespace

Homes::Homes(EntryContext &context, Answers &answers, StageDriver &driver)
    : m_context{context}
    , m_answers{answers}
    , m_driver{driver}
{
}

InstanceName Homes::chooseHome(const Request &request)
{
    const Stage &last = request.pipeline->stages.back();
    if (request.keyed) {
        return keyHome(request.id, *m_context.view, last.pool);
    }
    const PlacementQuery query{last.pool,      request.binding->model, request.workspace->name,
                               request.prefix, request.costs.back(),   false,
                               request.avoided};
    const auto placed = m_context.placement.choose(query, m_context.policy(), m_context.now);
    return placed ? m_context.table.endpoint(placed->number).name : InstanceName{};
}

void Homes::open(Request &request)
{
    const InstanceName side = chooseHome(request);
    if (side.empty() || !m_context.peers.connected(side)) {
        m_answers.giveUp(request, Reason::NoEndpoint, m_context.policy().ejectionTime);
        return;
    }
    ++request.homesTried;
    Home home;
    home.side = side;
    home.resumed = request.keyed;
    home.timer = request.home ? request.home->timer : 0;
    request.home = home;
    sendOpen(request);
}

void Homes::sendOpen(Request &request)
{
    m_context.send(request.home->side,
                   OpenRequest{request.id, request.workspace->name, request.deadline - m_context.now, request.keyed});
    setTimer(request);
}

void Homes::setTimer(Request &request)
{
    Home &home = *request.home;
    const Duration delay = m_context.policy().progressTimeout * (1U << std::min(home.asked, maxDoublings));
    m_context.timers.set({m_context.now + delay, TimerKind::Home, request.id, 0, ++home.timer});
}

void Homes::resume(Request &request, const Ticket &ticket)
{
    Home home;
    home.side = ticket.home;
    home.incarnation = ticket.incarnation;
    home.serial = ticket.serial;
    home.resumed = true;
    request.home = home;
    attach(request);
}

void Homes::attach(Request &request)
{
    const Home &home = *request.home;
    const bool running = request.atLastStage() && !request.runs.empty();
    const std::uint64_t offset = running ? request.runs.front().result.contiguous() : 0;
    m_context.send(home.side, AttachRequest{request.id, home.incarnation, home.serial, offset});
    setTimer(request);
}

void Homes::opened(const InstanceName &from, const RequestOpened &message)
{
    Request *request = m_context.requests.find(message.request);
    if (!request || !request->home || request->home->side != from || request->home->serial != noSerial) {
        m_context.observe(Metric::DroppedMessagesTotal, {"request_opened"});
        return;
    }
    Home &home = *request->home;
    home.incarnation = message.incarnation;
    home.serial = message.serial;
    home.asked = 0;
    if (request->callerWaits) {
        m_context.effects.emplace_back(CallerTicket{request->call, *Answers::ticketOf(*request)});
    }
    if (message.state == LedgerState::Queued || message.state == LedgerState::Running
        || message.state == LedgerState::Finished) {
        // Another submission of the same key has come this far: wait for its result.
        attach(*request);
        return;
    }
    learnt(*request, message.state, RunId{});
}

void Homes::refused(const InstanceName &from, const OpenRefused &message)
{
    Request *request = m_context.requests.find(message.request);
    if (!request || !request->home || request->home->side != from || request->home->serial != noSerial) {
        m_context.observe(Metric::DroppedMessagesTotal, {"open_refused"});
        return;
    }
    if (message.reason == Reason::Draining) {
        m_context.table.setDraining(from, true);
    }
    request->avoided.push_back(from);
    if (request->keyed || request->homesTried >= m_context.policy().maxAttempts) {
        m_answers.giveUp(*request, message.reason, message.retryAfter);
        return;
    }
    open(*request);
}

void Homes::state(const InstanceName &from, const RequestState &message)
{
    Request *request = m_context.requests.find(message.request);
    if (!request || !request->home || request->home->side != from || request->home->serial == noSerial) {
        return;
    }
    Home &home = *request->home;
    home.asked = 0;
    ++home.timer;
    if (message.state == LedgerState::Absent) {
        absent(*request, message.incarnation);
        return;
    }
    if (message.serial == home.serial && message.incarnation == home.incarnation) {
        learnt(*request, message.state, message.run);
    }
}

void Homes::learnt(Request &request, LedgerState state, const RunId &run)
{
    Home &home = *request.home;
    home.state = state;
    if (state == LedgerState::Sealed) {
        sealed(request);
        return;
    }
    if (home.sealing) {
        // It could not be sealed any more.
        m_answers.finish(request, request.givenUp, request.retryAfter);
        return;
    }
    if (state == LedgerState::Opened) {
        drive(request);
        return;
    }
    m_driver.follow(request, run);
}

// Opened at the home: nothing of the last stage has started. A run of it that was sent got lost, and is sent once more.
void Homes::drive(Request &request)
{
    if (request.runs.empty()) {
        m_driver.start(request);
        return;
    }
    if (request.boundToHome()) {
        Run &run = request.runs.front();
        run.heard = m_context.now;
        m_driver.resend(request, run);
    }
}

void Homes::sealed(Request &request)
{
    const auto bound = [](const Run &run) {
        return run.serial != noSerial;
    };
    if (std::any_of(request.runs.begin(), request.runs.end(), bound)) {
        --request.unconfirmed;
    }
    const Reason reason = request.home->sealing ? request.givenUp : Reason::Sealed;
    m_answers.finish(request, reason, request.retryAfter);
}

// The home has no such record. A new incarnation never starts a serial of an older one; so if this entry sent no run
// and nobody else drove the request, nothing has happened and nothing will.
void Homes::absent(Request &request, Incarnation incarnation)
{
    Home &home = *request.home;
    const bool restarted = incarnation != home.incarnation;
    if (restarted && !home.dispatched && !home.resumed && request.callerWaits) {
        home.state = LedgerState::Sealed;
    }
    const Reason reason = restarted ? Reason::WrongIncarnation : Reason::UnknownTicket;
    m_answers.finish(request, home.sealing ? request.givenUp : reason, request.retryAfter);
}

void Homes::timedOut(Request &request, std::uint64_t timer)
{
    if (!request.home || request.home->timer != timer) {
        return;
    }
    Home &home = *request.home;
    ++home.asked;
    if (home.sealing) {
        m_answers.finish(request, request.givenUp, request.retryAfter);
        return;
    }
    if (home.serial != noSerial) {
        attach(request);
        return;
    }
    if (request.keyed && home.asked < maxQuestions) {
        sendOpen(request);
        return;
    }
    request.avoided.push_back(home.side);
    if (request.keyed || request.homesTried >= m_context.policy().maxAttempts) {
        m_answers.giveUp(request, Reason::NoEndpoint, m_context.policy().ejectionTime);
        return;
    }
    open(request);
}

void Homes::reconnected(Request &request)
{
    const Home &home = *request.home;
    if (home.sealing) {
        m_context.send(home.side, SealRequest{request.id, home.incarnation, home.serial});
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
