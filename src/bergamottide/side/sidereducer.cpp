#include "bergamottide/side/sidereducer.h"

#include "bergamottide/orders/orderplanner.h"
#include "bergamottide/side/drain.h"
#include "bergamottide/side/loadreporter.h"
#include "bergamottide/side/runreception.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamottide {

/*! @brief Parts of a side, wired together. */
struct SideReducer::State
{
    explicit State(SideIdentity identity)
        : context{std::move(identity)}
        , delivery{context, runs}
        , scheduler{context, runs, ledger, delivery}
        , home{context, runs, ledger, delivery, scheduler}
        , reception{context, runs, delivery, scheduler, home}
        , reporter{context, scheduler}
        , drain{context, runs, ledger}
        , orders{context.identity.instance, context.identity.seed}
    {
    }

    void detectPause();
    void pingUnconfirmed();
    void planOrders();
    void giveOrder();
    void finishEvent();
    [[nodiscard]] TimePoint dueTime() const;

    void on(const PeerMessage &event);
    void on(const PeerUp &event);
    void on(const PeerDown &event);
    void on(const EndpointPiece &event);
    void on(const EndpointFinished &event);
    void on(const EndpointReport &event);
    void on(const OrderAnswered &event);
    void on(const ConfigChanged &event);
    void on(const ViewChanged &event);
    void on(const DrainRequested &event);
    void on(const Tick &event);

    void onMessage(const InstanceName &from, const OpenRequest &message);
    void onMessage(const InstanceName &from, const StartRun &message);
    void onMessage(const InstanceName &from, const CancelRun &message);
    void onMessage(const InstanceName &from, const RunAcknowledged &message);
    void onMessage(const InstanceName &from, const QueryRuns &message);
    void onMessage(const InstanceName &from, const AttachRequest &message);
    void onMessage(const InstanceName &from, const SealRequest &message);
    void onMessage(const InstanceName &from, const Ping &message);
    void onMessage(const InstanceName &from, const Pong &message);
    void onMessage(const InstanceName &from, const Hello &message);

    /*! @brief Messages that a side has no use for; the tree of configuration is served elsewhere. */
    template <typename Other>
    void onMessage(const InstanceName &, const Other &)
    {
        context.out.observe(Metric::DroppedMessagesTotal, {"unexpected"});
    }

    SideContext context;
    RunTable runs;
    Ledger ledger;
    RunDelivery delivery;
    RunScheduler scheduler;
    RequestHome home;
    RunReception reception;
    LoadReporter reporter;
    Drain drain;
    OrderPlanner orders;
    /*! @brief Time at which a tick was asked for after the last event. */
    std::optional<TimePoint> wakeup;
};

SideReducer::SideReducer(SideIdentity identity)
    : m_state{std::make_unique<State>(std::move(identity))}
{
}

SideReducer::~SideReducer() = default;

SideEffects SideReducer::apply(const SideEvent &event, TimePoint now)
{
    m_state->context.now = now;
    m_state->detectPause();
    std::visit([this](const auto &alternative) { m_state->on(alternative); }, event);
    m_state->finishEvent();
    return m_state->context.out.take();
}

std::optional<TimePoint> SideReducer::nextWakeup() const
{
    return m_state->wakeup;
}

std::size_t SideReducer::inProgress() const noexcept
{
    return m_state->scheduler.queued() + m_state->scheduler.running();
}

void SideReducer::State::detectPause()
{
    if (!wakeup || context.now <= *wakeup + context.policy.pauseGap) {
        return;
    }
    context.peers.wakeUp();
    orders.forgetReading(context.now);
    context.pausedSince = *wakeup;
    context.out.log(Severity::Warning, Part::Side, "The process was paused; it starts nothing until a peer confirms.",
                    {{"gap_us", std::to_string((context.now - *wakeup).count())}});
    pingUnconfirmed();
}

void SideReducer::State::pingUnconfirmed()
{
    for (const InstanceName &peer : context.peers.all()) {
        if (!context.peers.fresh(peer)) {
            context.out.send(peer, Ping{context.peers.wake()});
        }
    }
}

void SideReducer::State::planOrders()
{
    if (context.document && context.view && context.pool.kind == PoolKind::Engine) {
        orders.plan(*context.document, *context.view, context.now);
    }
}

void SideReducer::State::giveOrder()
{
    // A side that leaves or has just woken up may not be the only giver any more.
    if (context.draining || context.peers.paused() || context.pool.kind != PoolKind::Engine) {
        return;
    }
    const std::optional<GiveOrder> order = orders.next(context.now);
    if (!order) {
        return;
    }
    const std::string kind{enumName(order->kind)};
    context.out.add(*order);
    context.out.observe(Metric::OrdersTotal, {kind});
    context.out.log(Severity::Info, Part::Orders, "An order goes to the engine.",
                    {{"kind", kind}, {"model", order->model.text()}, {"fence", std::to_string(order->fence)}});
    context.out.add(AuditRecord{AuditKind::Order, order->model.text(), "engine differs from document",
                                kind + " fence " + std::to_string(order->fence)});
}

void SideReducer::State::finishEvent()
{
    scheduler.dispatch();
    giveOrder();
    reporter.onTick();
    drain.onTick();
    wakeup = dueTime();
}

TimePoint SideReducer::State::dueTime() const
{
    TimePoint due = reporter.next();
    for (const std::optional<TimePoint> &next : {runs.nextDue(), scheduler.nextDoomed(), ledger.nextExpiry()}) {
        due = next ? std::min(due, *next) : due;
    }
    // Strictly later than now: what expires at a time is over only after it.
    return std::max(due, context.now) + Duration{1};
}

void SideReducer::State::on(const PeerMessage &event)
{
    std::visit([this, &event](const auto &message) { onMessage(event.from, message); }, event.message);
}

void SideReducer::State::on(const PeerUp &event)
{
    context.peers.connect(event.peer);
    const std::uint64_t version = context.document ? context.document->version : 0;
    context.out.send(event.peer, Hello{context.identity.instance, context.identity.incarnation, version});
    reporter.reportTo(event.peer);
    if (!context.peers.fresh(event.peer)) {
        context.out.send(event.peer, Ping{context.peers.wake()});
    }
}

void SideReducer::State::on(const PeerDown &event)
{
    context.peers.disconnect(event.peer);
}

void SideReducer::State::on(const EndpointPiece &event)
{
    scheduler.onPiece(event);
}

void SideReducer::State::on(const EndpointFinished &event)
{
    scheduler.onFinished(event);
}

void SideReducer::State::on(const EndpointReport &event)
{
    reporter.onReport(event);
    orders.onReport(event, context.now);
}

void SideReducer::State::on(const OrderAnswered &event)
{
    orders.onAnswer(event, context.now);
}

void SideReducer::State::on(const ConfigChanged &event)
{
    if (!event.document || (context.document && event.document->version < context.document->version)) {
        return;
    }
    context.document = event.document;
    context.policy = event.document->policy;
    const auto pool = event.document->pools.find(context.identity.pool);
    if (pool != event.document->pools.end()) {
        context.pool = pool->second;
    }
    scheduler.configure();
    planOrders();
}

void SideReducer::State::on(const ViewChanged &event)
{
    if (!event.view) {
        return;
    }
    context.view = event.view;
    home.viewChanged();
    drain.onView();
    planOrders();
}

void SideReducer::State::on(const DrainRequested &event)
{
    drain.onRequested(event.cause);
}

void SideReducer::State::on(const Tick &)
{
    reception.onTick();
    pingUnconfirmed();
    context.out.observe(Metric::LedgerRecords, {}, static_cast<double>(ledger.size()));
}

void SideReducer::State::onMessage(const InstanceName &from, const OpenRequest &message)
{
    home.onOpen(from, message);
}

void SideReducer::State::onMessage(const InstanceName &from, const StartRun &message)
{
    reception.onStart(from, message);
}

void SideReducer::State::onMessage(const InstanceName &from, const CancelRun &message)
{
    reception.onCancel(from, message);
}

void SideReducer::State::onMessage(const InstanceName &from, const RunAcknowledged &message)
{
    delivery.acknowledge(message.run, from);
}

void SideReducer::State::onMessage(const InstanceName &from, const QueryRuns &message)
{
    reception.onQuery(from, message);
}

void SideReducer::State::onMessage(const InstanceName &from, const AttachRequest &message)
{
    home.onAttach(from, message);
}

void SideReducer::State::onMessage(const InstanceName &from, const SealRequest &message)
{
    home.onSeal(from, message);
}

void SideReducer::State::onMessage(const InstanceName &from, const Ping &message)
{
    context.out.send(from, Pong{message.sequence});
}

void SideReducer::State::onMessage(const InstanceName &from, const Pong &message)
{
    if (context.peers.confirm(from, message.sequence)) {
        context.out.log(Severity::Info, Part::Side, "A peer has confirmed itself; runs start again.");
    }
}

void SideReducer::State::onMessage(const InstanceName &, const Hello &)
{
}

} // namespace bergamottide
