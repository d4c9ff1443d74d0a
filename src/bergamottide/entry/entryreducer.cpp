#include "bergamottide/entry/entryreducer.h"

#include "bergamottide/core/error.h"
#include "bergamottide/entry/answers.h"
#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/outcomerule.h"
#include "bergamottide/entry/requestcheck.h"
#include "bergamottide/entry/runtracker.h"
#include "bergamottide/entry/stagedriver.h"

#include <utility>

namespace bergamottide {

/*! @brief The parts of an entry, and which of them handles which event. */
struct EntryReducer::State
{
    explicit State(EntryIdentity identity)
        : context{std::move(identity)}
        , answers{context}
        , driver{context, answers}
        , runs{context, driver}
    {
    }

    void handle(const CallerSubmitted &event);
    void handle(const CallerFetched &event);
    void handle(const CallerCanceled &event);
    void handle(const CallerGone &event);
    void handle(const PeerMessage &event);
    void handle(const PeerUp &event);
    void handle(const PeerDown &event);
    void handle(const ConfigChanged &event);
    void handle(const ViewChanged &event);
    void handle(const DrainRequested &event);
    void handle(const Tick &event);

    void submit(const CallerSubmitted &event, const CheckedRequest &checked);
    void expireTimers();

    EntryContext context;
    Answers answers;
    StageDriver driver;
    RunTracker runs;
};

EntryReducer::EntryReducer(EntryIdentity identity)
    : m_state{std::make_unique<State>(std::move(identity))}
{
}

EntryReducer::~EntryReducer() = default;

EntryEffects EntryReducer::apply(const EntryEvent &event, TimePoint now)
{
    m_state->context.now = now;
    std::visit([this](const auto &specific) { m_state->handle(specific); }, event);
    m_state->context.requests.sweep();
    return std::exchange(m_state->context.effects, {});
}

std::optional<TimePoint> EntryReducer::nextWakeup() const
{
    return m_state->context.timers.next();
}

std::size_t EntryReducer::inProgress() const noexcept
{
    return m_state->context.requests.size();
}

void EntryReducer::State::handle(const CallerSubmitted &event)
{
    if (!context.index || !context.viewKnown) {
        answers.refuse(event.call, event.request, outcomeOfRefusal(event, true), Reason::StaleView, {},
                       context.policy().ejectionTime);
        return;
    }
    const auto checked = checkRequest(*context.index, event);
    if (!checked.ok()) {
        answers.refuse(event.call, event.request, Outcome::NotRun, errorReason(checked.status()),
                       errorField(checked.status()), Duration::zero());
        return;
    }
    submit(event, *checked);
}

void EntryReducer::State::submit(const CallerSubmitted &event, const CheckedRequest &checked)
{
    if (context.draining) {
        answers.refuse(event.call, event.request, outcomeOfRefusal(event, checked.atMostOnce), Reason::Draining, {},
                       context.policy().ejectionTime);
        return;
    }
    if (context.requests.find(event.request)) {
        answers.refuse(event.call, event.request, Outcome::Unknown, Reason::DuplicateRequest, "request",
                       Duration::zero());
        return;
    }
    auto request = std::make_unique<Request>();
    request->call = event.call;
    request->id = event.request;
    request->keyed = event.keyed;
    request->streaming = event.streaming;
    request->atMostOnce = checked.atMostOnce;
    request->index = context.index;
    request->workspace = checked.workspace;
    request->pipeline = checked.pipeline;
    request->binding = checked.binding;
    request->kind = checked.kind;
    request->arrived = context.now;
    request->deadline = context.now + checked.deadline;
    request->maxTokens = event.maxTokens;
    request->prefix = event.prefix;
    request->body = event.body;
    driver.estimateCosts(*request);
    Request &added = context.requests.add(std::move(request));
    context.timers.set({added.deadline, TimerKind::Deadline, added.id, 0, 0});
    driver.start(added);
}

void EntryReducer::State::handle(const CallerFetched &event)
{
    answers.refuse(event.call, event.ticket.request, Outcome::Unknown, Reason::UnknownTicket, "ticket",
                   Duration::zero());
}

void EntryReducer::State::handle(const CallerCanceled &event)
{
    answers.refuse(event.call, event.ticket.request, Outcome::Unknown, Reason::UnknownTicket, "ticket",
                   Duration::zero());
}

void EntryReducer::State::handle(const CallerGone &event)
{
    Request *request = context.requests.findCall(event.call);
    if (!request) {
        return;
    }
    request->callerWaits = false;
    answers.finish(*request, Reason::CallerGone, Duration::zero());
}

void EntryReducer::State::handle(const PeerMessage &event)
{
    context.peers.at(event.from).heard = context.now;
    if (const auto *report = std::get_if<LoadReport>(&event.message)) {
        context.table.applyReport(event.from, *report, context.now);
        return;
    }
    if (const auto *progress = std::get_if<RunProgress>(&event.message)) {
        runs.progress(event.from, *progress);
        return;
    }
    if (const auto *finished = std::get_if<RunFinished>(&event.message)) {
        runs.finished(event.from, *finished);
    }
}

void EntryReducer::State::handle(const PeerUp &event)
{
    context.peers.at(event.peer).connected = true;
    context.table.setConnected(event.peer, true);
}

void EntryReducer::State::handle(const PeerDown &event)
{
    context.peers.at(event.peer).connected = false;
    context.table.setConnected(event.peer, false);
}

void EntryReducer::State::handle(const ConfigChanged &event)
{
    context.index = std::make_shared<const DocumentIndex>(event.document);
}

void EntryReducer::State::handle(const ViewChanged &event)
{
    context.viewKnown = true;
    context.table.applyView(*event.view);
}

void EntryReducer::State::handle(const DrainRequested &)
{
    context.draining = true;
    if (context.requests.size() == 0) {
        context.effects.emplace_back(DrainComplete{});
    }
}

void EntryReducer::State::handle(const Tick &)
{
    expireTimers();
}

void EntryReducer::State::expireTimers()
{
    while (const auto timer = context.timers.takeDue(context.now)) {
        Request *request = context.requests.find(timer->request);
        if (!request || timer->kind != TimerKind::Deadline) {
            continue;
        }
        answers.giveUp(*request, Reason::DeadlineExceeded, Duration::zero());
    }
}

} // namespace bergamottide
