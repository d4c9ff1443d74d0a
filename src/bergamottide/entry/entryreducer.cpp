#include "bergamottide/entry/entryreducer.h"

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/fetches.h"
#include "bergamottide/entry/homeclient.h"
#include "bergamottide/entry/intake.h"
#include "bergamottide/entry/recovery.h"
#include "bergamottide/entry/requestfinisher.h"
#include "bergamottide/entry/runtracker.h"
#include "bergamottide/entry/stagedriver.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

/*! @brief Components of an entry; dispatches each event to the component that handles it. */
struct EntryReducer::State
{
    explicit State(EntryIdentity identity)
        : context{std::move(identity)}
        , finisher{context}
        , driver{context, finisher}
        , runs{context, finisher, driver}
        , homeClient{context, finisher, driver}
        , fetches{context}
        , recovery{context, runs, driver, homeClient, fetches}
        , intake{context, finisher, driver, homeClient, fetches}
    {
    }

    void handle(const CallerSubmitted &event);
    void handle(const FetchRequested &event);
    void handle(const CancelRequested &event);
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

    /*! @brief Ignores messages that do not concern an entry. */
    template <typename Other>
    void handleMessage(const InstanceName &, const Other &)
    {
    }

    [[nodiscard]] std::optional<TimePoint> computeWakeup() const;
    void detectPause();
    void expireTimers();
    void expire(const Timer &timer);
    void reviewEndpoints();
    void checkDrained();

    EntryContext context;
    RequestFinisher finisher;
    StageDriver driver;
    RunTracker runs;
    HomeClient homeClient;
    Fetches fetches;
    Recovery recovery;
    Intake intake;
    /*! @brief Time of the next review of the endpoints; absent until there is an instance view. */
    std::optional<TimePoint> nextReview;
    /*! @brief Value of `nextWakeup` after the last event. */
    std::optional<TimePoint> requestedWakeup;
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
    state.context.requests.deleteRemoved();
    state.requestedWakeup = state.computeWakeup();
    return std::exchange(state.context.effects, {});
}

std::optional<TimePoint> EntryReducer::nextWakeup() const
{
    return m_state->requestedWakeup;
}

std::size_t EntryReducer::inProgress() const noexcept
{
    return m_state->context.requests.size() + m_state->fetches.size();
}

bool EntryReducer::hasEndpointsForAllPipelines() const
{
    const EntryContext &context = m_state->context;
    if (!context.index || !context.view) {
        return false;
    }
    const auto hasEndpoint = [&context](const Stage &stage) {
        const PoolEndpoints *pool = context.table.pool(stage.pool);
        return pool != nullptr && std::ranges::any_of(pool->listed, [&context](EndpointNumber number) {
                   const Endpoint &endpoint = context.table.endpoint(number);
                   return endpoint.available() && endpoint.reported.known;
               });
    };
    return std::ranges::all_of(context.index->document().pipelines, [&hasEndpoint](const auto &named) {
        return std::ranges::all_of(named.second.stages, hasEndpoint);
    });
}

std::optional<TimePoint> EntryReducer::State::computeWakeup() const
{
    const auto timer = context.timers.next();
    if (!timer || !nextReview) {
        const auto due = timer ? timer : nextReview;
        return due ? std::optional{std::max(context.now, *due)} : due;
    }
    // A time in the past would let `detectPause` report the same pause again.
    return std::max(context.now, std::min(*timer, *nextReview));
}

// Detects that the process was suspended, since its view may be outdated. Expired requests are answered before the
// event is handled.
void EntryReducer::State::detectPause()
{
    if (!requestedWakeup || context.now <= *requestedWakeup + context.policy().pauseGap) {
        return;
    }
    recovery.handleResumed();
    expireTimers();
}

void EntryReducer::State::handle(const CallerSubmitted &event)
{
    intake.handleSubmission(event);
}

void EntryReducer::State::handle(const FetchRequested &event)
{
    intake.handleFetch(event);
}

void EntryReducer::State::handle(const CancelRequested &event)
{
    intake.handleCancel(event);
}

void EntryReducer::State::handle(const CallerGone &event)
{
    intake.handleCallerGone(event);
}

void EntryReducer::State::handle(const PeerMessage &event)
{
    recovery.messageReceived(event.from);
    std::visit([this, &event](const auto &message) { handleMessage(event.from, message); }, event.message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RunProgress &message)
{
    const bool fetched = fetches.handleProgress(from, message);
    if (!runs.handleProgress(from, message) && !fetched) {
        context.observe(Metric::DroppedMessagesTotal, {"run_progress"});
    }
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RunFinished &message)
{
    const bool fetched = fetches.handleFinished(from, message);
    if (!runs.handleFinished(from, message) && !fetched) {
        // The sidecar repeats the message until it is acknowledged, even if this entry has dropped the run.
        context.send(from, RunAcknowledged{message.run});
        context.observe(Metric::DroppedMessagesTotal, {"run_finished"});
    }
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RunStates &message)
{
    recovery.handleRunStates(from, message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RequestOpened &message)
{
    homeClient.handleOpened(from, message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const OpenRefused &message)
{
    homeClient.handleOpenRefused(from, message);
}

void EntryReducer::State::handleMessage(const InstanceName &from, const RequestState &message)
{
    fetches.handleRequestState(from, message);
    homeClient.handleRequestState(from, message);
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
    recovery.handlePong(from, message);
}

void EntryReducer::State::handle(const PeerUp &event)
{
    recovery.handlePeerUp(event.peer);
}

void EntryReducer::State::handle(const PeerDown &event)
{
    recovery.handlePeerDown(event.peer);
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
    const auto entryCount = std::count_if(event.view->instances.begin(), event.view->instances.end(), isEntry);
    context.entryCount = std::max<std::size_t>(1, static_cast<std::size_t>(entryCount));
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
    reviewEndpoints();
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
        fetches.handleTimeout(timer.number);
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
        finisher.giveUp(*request, Reason::DeadlineExceeded, Duration::zero());
        return;
    }
    if (timer.kind == TimerKind::Home) {
        homeClient.handleTimeout(*request, timer.number);
        return;
    }
    const bool isCurrent = !request->runs.empty() && request->runs.front().id.attempt == timer.number;
    if (timer.kind == TimerKind::Hedge && request->stage == timer.stage && isCurrent) {
        driver.hedge(*request);
    }
}

void EntryReducer::State::reviewEndpoints()
{
    if (!nextReview || context.now < *nextReview) {
        return;
    }
    nextReview = context.now + context.policy().reportPeriod;
    recovery.reopenUnconfirmedStreams();
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
