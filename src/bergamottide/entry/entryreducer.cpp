#include "bergamottide/entry/entryreducer.h"

#include "bergamottide/entry/answers.h"
#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/fetches.h"
#include "bergamottide/entry/homes.h"
#include "bergamottide/entry/intake.h"
#include "bergamottide/entry/recovery.h"
#include "bergamottide/entry/runtracker.h"
#include "bergamottide/entry/stagedriver.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

/*! @brief The parts of an entry, and which of them handles which event. */
struct EntryReducer::State
{
    explicit State(EntryIdentity identity)
        : context{std::move(identity)}
        , answers{context}
        , driver{context, answers}
        , runs{context, answers, driver}
        , homes{context, answers, driver}
        , fetches{context}
        , recovery{context, runs, driver, homes, fetches}
        , intake{context, answers, driver, homes, fetches}
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

    void handleMessage(const InstanceName &from, const RunProgress &message);
    void handleMessage(const InstanceName &from, const RunFinished &message);
    void handleMessage(const InstanceName &from, const RunStates &message);
    void handleMessage(const InstanceName &from, const RequestOpened &message);
    void handleMessage(const InstanceName &from, const OpenRefused &message);
    void handleMessage(const InstanceName &from, const RequestState &message);
    void handleMessage(const InstanceName &from, const LoadReport &message);
    void handleMessage(const InstanceName &from, const Ping &message);
    void handleMessage(const InstanceName &from, const Pong &message);

    /*! @brief Messages that an entry has no part in. */
    template <typename Other>
    void handleMessage(const InstanceName &, const Other &)
    {
    }

    [[nodiscard]] std::optional<TimePoint> wakeup() const;
    void detectPause();
    void expireTimers();
    void expire(const Timer &timer);
    void review();
    void checkDrained();

    EntryContext context;
    Answers answers;
    StageDriver driver;
    RunTracker runs;
    Homes homes;
    Fetches fetches;
    Recovery recovery;
    Intake intake;
    /*! @brief Next comparison of the endpoints with their peers; none before there is a view. */
    std::optional<TimePoint> nextReview;
    /*! @brief Time at which a tick was asked for after the last event. */
    std::optional<TimePoint> asked;
    bool drained{};
};

EntryReducer::EntryReducer(EntryIdentity identity)
    : m_state{std::make_unique<State>(std::move(identity))}
{
}

EntryReducer::~EntryReducer() = default;

EntryEffects EntryReducer::apply(const EntryEvent &event, TimePoint now)
{
    State &state = *m_state;
    state.context.now = now;
    state.detectPause();
    std::visit([&state](const auto &specific) { state.handle(specific); }, event);
    state.checkDrained();
    state.context.requests.sweep();
    state.asked = state.wakeup();
    return std::exchange(state.context.effects, {});
}

std::optional<TimePoint> EntryReducer::nextWakeup() const
{
    return m_state->asked;
}

std::size_t EntryReducer::inProgress() const noexcept
{
    return m_state->context.requests.size() + m_state->fetches.size();
}

std::optional<TimePoint> EntryReducer::State::wakeup() const
{
    const auto timer = context.timers.next();
    if (!timer || !nextReview) {
        const auto due = timer ? timer : nextReview;
        return due ? std::optional{std::max(context.now, *due)} : due;
    }
    // What is overdue is due now, so that one pause is noticed once.
    return std::max(context.now, std::min(*timer, *nextReview));
}

// Load: a process stopped past deadlines and leases, then woken. Harm prevented: runs started on a view that is long
// out of date. Timers come first, so that what has expired is answered before anything else is done.
void EntryReducer::State::detectPause()
{
    if (!asked || context.now <= *asked + context.policy().pauseGap) {
        return;
    }
    recovery.wokenUp();
    expireTimers();
}

void EntryReducer::State::handle(const CallerSubmitted &event)
{
    intake.submitted(event);
}

void EntryReducer::State::handle(const CallerFetched &event)
{
    intake.fetched(event);
}

void EntryReducer::State::handle(const CallerCanceled &event)
{
    intake.canceled(event);
}

void EntryReducer::State::handle(const CallerGone &event)
{
    intake.gone(event);
}

void EntryReducer::State::handle(const PeerMessage &event)
{
    recovery.heard(event.from);
    std::visit([this, &event](const auto &message) { handleMessage(event.from, message); }, event.message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RunProgress &message)
{
    const bool fetched = fetches.progress(from, message);
    if (!runs.progress(from, message) && !fetched) {
        context.observe(Metric::DroppedMessagesTotal, {"run_progress"});
    }
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RunFinished &message)
{
    const bool fetched = fetches.finished(from, message);
    if (!runs.finished(from, message) && !fetched) {
        // The side repeats the end until it is acknowledged, also to an entry that has given the run up.
        context.send(from, RunAcknowledged{message.run});
        context.observe(Metric::DroppedMessagesTotal, {"run_finished"});
    }
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RunStates &message)
{
    recovery.states(from, message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RequestOpened &message)
{
    homes.opened(from, message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const OpenRefused &message)
{
    homes.refused(from, message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RequestState &message)
{
    fetches.state(from, message);
    homes.state(from, message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const LoadReport &message)
{
    context.table.applyReport(from, message, context.now);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const Ping &message)
{
    context.send(from, Pong{message.sequence});
}

void EntryReducer::State::handleMessage(const InstanceName &from, const Pong &message)
{
    recovery.pong(from, message);
}

void EntryReducer::State::handle(const PeerUp &event)
{
    recovery.peerUp(event.peer);
}

void EntryReducer::State::handle(const PeerDown &event)
{
    recovery.peerDown(event.peer);
}

void EntryReducer::State::handle(const ConfigChanged &event)
{
    const bool older = context.index && event.document && event.document->version < context.index->document().version;
    if (!event.document || older) {
        return;
    }
    context.index = std::make_shared<const DocumentIndex>(event.document);
}

void EntryReducer::State::handle(const ViewChanged &event)
{
    if (!event.view) {
        return;
    }
    context.view = event.view;
    context.table.applyView(*event.view);
    const auto isEntry = [](const auto &named) {
        return named.second.role == Role::Entry;
    };
    const auto entries = std::count_if(event.view->instances.begin(), event.view->instances.end(), isEntry);
    context.entries = std::max<std::size_t>(1, static_cast<std::size_t>(entries));
    if (!nextReview) {
        nextReview = context.now + context.policy().reportPeriod;
    }
}

void EntryReducer::State::handle(const DrainRequested &event)
{
    if (context.draining) {
        return;
    }
    context.draining = true;
    context.effects.emplace_back(
        AuditRecord{AuditKind::DrainStarted, context.identity.instance.text(), event.cause, {}});
}

void EntryReducer::State::handle(const Tick &)
{
    expireTimers();
    review();
}

void EntryReducer::State::expireTimers()
{
    while (const auto timer = context.timers.takeDue(context.now)) {
        expire(*timer);
    }
}

void EntryReducer::State::expire(const Timer &timer)
{
    if (timer.kind == TimerKind::Fetch) {
        fetches.timedOut(timer.number);
        return;
    }
    if (timer.kind == TimerKind::Progress) {
        recovery.checkProgress(timer);
        return;
    }
    Request *request = context.requests.find(timer.request);
    if (!request) {
        return;
    }
    if (timer.kind == TimerKind::Deadline && context.now >= request->deadline) {
        answers.giveUp(*request, Reason::DeadlineExceeded, Duration::zero());
        return;
    }
    if (timer.kind == TimerKind::Home) {
        homes.timedOut(*request, timer.number);
        return;
    }
    const bool present = !request->runs.empty() && request->runs.front().id.attempt == timer.number;
    if (timer.kind == TimerKind::Hedge && request->stage == timer.stage && present) {
        driver.hedge(*request);
    }
}

void EntryReducer::State::review()
{
    if (!nextReview || context.now < *nextReview) {
        return;
    }
    nextReview = context.now + context.policy().reportPeriod;
    recovery.review();
    for (const EjectionChange &change : context.ejector.review(context.policy(), context.now)) {
        const AuditKind kind = change.ejected ? AuditKind::Ejection : AuditKind::Return;
        context.effects.emplace_back(AuditRecord{kind, change.endpoint.text(), change.cause, change.pool.text()});
        if (change.ejected) {
            context.observe(Metric::EjectionsTotal, {change.pool.text()});
        }
    }
}

void EntryReducer::State::checkDrained()
{
    if (!context.draining || drained || context.requests.size() + fetches.size() > 0) {
        return;
    }
    drained = true;
    context.effects.emplace_back(
        AuditRecord{AuditKind::DrainFinished, context.identity.instance.text(), "nothing left in progress", {}});
    context.effects.emplace_back(DrainComplete{});
}

} // namespace bergamottide
