#include "bergamottide/sidecar/sidecarreducer.h"

#include "bergamottide/orders/orderplanner.h"
#include "bergamottide/sidecar/drain.h"
#include "bergamottide/sidecar/loadreporter.h"
#include "bergamottide/sidecar/runmessagehandler.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamottide {

/*! @brief Components of a sidecar. */
struct SidecarReducer::State
{
    explicit State(SidecarIdentity identity)
        : context{std::move(identity)}
        , delivery{context, runs}
        , scheduler{context, runs, ledger, delivery}
        , atMostOnce{context, runs, ledger, delivery, scheduler}
        , runMessages{context, runs, delivery, scheduler, atMostOnce}
        , reporter{context, scheduler}
        , drain{context, runs, ledger}
        , orders{context.identity.instance, context.identity.seed}
    {
    }

    void detectPause();
    void pingUnconfirmed();
    void planOrders();
    void sendNextOrder();
    void finishEvent();
    [[nodiscard]] TimePoint nextTickAt() const;

    void on(const PeerMessage &event);
    void on(const PeerUp &event);
    void on(const PeerDown &event);
    void on(const EndpointResultPiece &event);
    void on(const EndpointRunEnded &event);
    void on(const EndpointLoadReport &event);
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

    /*! @brief Drops messages that a sidecar does not handle; configuration messages never reach the reducer. */
    template <typename Other>
    void onMessage(const InstanceName &, const Other &)
    {
        context.effects.observe(Metric::DroppedMessagesTotal, {"unexpected"});
    }

    SidecarContext context;
    RunTable runs;
    Ledger ledger;
    ResultDelivery delivery;
    RunScheduler scheduler;
    AtMostOnceHandler atMostOnce;
    RunMessageHandler runMessages;
    LoadReporter reporter;
    Drain drain;
    OrderPlanner orders;
    /*! @brief Time of the next requested tick. */
    std::optional<TimePoint> wakeup;
};

SidecarReducer::SidecarReducer(SidecarIdentity identity)
    : m_state{std::make_unique<State>(std::move(identity))}
{
}

SidecarReducer::~SidecarReducer() = default;

SidecarEffects SidecarReducer::apply(const SidecarEvent &event, TimePoint now)
{
    m_state->context.now = now;
    m_state->detectPause();
    std::visit([this](const auto &alternative) { m_state->on(alternative); }, event);
    m_state->finishEvent();
    return m_state->context.effects.take();
}

std::optional<TimePoint> SidecarReducer::nextWakeup() const
{
    return m_state->wakeup;
}

std::size_t SidecarReducer::inProgress() const noexcept
{
    return m_state->scheduler.queued() + m_state->scheduler.running();
}

void SidecarReducer::State::detectPause()
{
    if (!wakeup || context.now <= *wakeup + context.policy.pauseGap) {
        return;
    }
    context.peers.onResumed();
    orders.discardReport(context.now);
    context.pausedSince = *wakeup;
    context.effects.log(Severity::Warning, Part::Sidecar,
                        "Process resumed after a pause; no run starts until a peer answers a ping.",
                        {{"gap_us", std::to_string((context.now - *wakeup).count())}});
    pingUnconfirmed();
}

void SidecarReducer::State::pingUnconfirmed()
{
    for (const InstanceName &peer : context.peers.connectedPeers()) {
        if (!context.peers.isFresh(peer)) {
            context.effects.send(peer, Ping{context.peers.epoch()});
        }
    }
}

void SidecarReducer::State::planOrders()
{
    if (context.document && context.view && context.pool.kind == PoolKind::Engine) {
        orders.plan(*context.document, *context.view, context.now);
    }
}

void SidecarReducer::State::sendNextOrder()
{
    // After a pause, or while draining, another process may already control the engine.
    if (context.draining || context.peers.awaitsConfirmation() || context.pool.kind != PoolKind::Engine) {
        return;
    }
    const std::optional<SendOrder> order = orders.nextOrder(context.now);
    if (!order) {
        return;
    }
    const std::string kind{enumName(order->kind)};
    context.effects.add(*order);
    context.effects.observe(Metric::OrdersTotal, {kind});
    context.effects.log(
        Severity::Info, Part::Orders, "Sending an order to the engine.",
        {{"kind", kind}, {"model", order->model.text()}, {"fence", std::to_string(order->fencingToken)}});
    context.effects.add(AuditRecord{AuditKind::Order, order->model.text(), "engine differs from document",
                                    kind + " fence " + std::to_string(order->fencingToken)});
}

void SidecarReducer::State::finishEvent()
{
    scheduler.dispatch();
    sendNextOrder();
    reporter.onTick();
    drain.onTick();
    wakeup = nextTickAt();
}

TimePoint SidecarReducer::State::nextTickAt() const
{
    TimePoint due = reporter.nextReportAt();
    for (const std::optional<TimePoint> &next : {runs.nextDue(), scheduler.nextInfeasibleAt(), ledger.nextExpiry()}) {
        due = next ? std::min(due, *next) : due;
    }
    // Strictly later than now: deadlines are inclusive.
    return std::max(due, context.now) + Duration{1};
}

void SidecarReducer::State::on(const PeerMessage &event)
{
    std::visit([this, &event](const auto &message) { onMessage(event.from, message); }, event.message);
}

void SidecarReducer::State::on(const PeerUp &event)
{
    context.peers.connect(event.peer);
    const std::uint64_t version = context.document ? context.document->version : 0;
    context.effects.send(event.peer, Hello{context.identity.instance, context.identity.incarnation, version});
    reporter.reportTo(event.peer);
    if (!context.peers.isFresh(event.peer)) {
        context.effects.send(event.peer, Ping{context.peers.epoch()});
    }
}

void SidecarReducer::State::on(const PeerDown &event)
{
    context.peers.disconnect(event.peer);
}

void SidecarReducer::State::on(const EndpointResultPiece &event)
{
    scheduler.onPiece(event);
}

void SidecarReducer::State::on(const EndpointRunEnded &event)
{
    scheduler.onFinished(event);
}

void SidecarReducer::State::on(const EndpointLoadReport &event)
{
    reporter.onReport(event);
    orders.onReport(event, context.now);
}

void SidecarReducer::State::on(const OrderAnswered &event)
{
    orders.onAnswer(event, context.now);
}

void SidecarReducer::State::on(const ConfigChanged &event)
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

void SidecarReducer::State::on(const ViewChanged &event)
{
    if (!event.view) {
        return;
    }
    context.view = event.view;
    atMostOnce.onViewChanged();
    drain.onViewChanged();
    planOrders();
}

void SidecarReducer::State::on(const DrainRequested &event)
{
    drain.onRequested(event.cause);
}

void SidecarReducer::State::on(const Tick &)
{
    runMessages.onTick();
    pingUnconfirmed();
    context.effects.observe(Metric::LedgerRecords, {}, static_cast<double>(ledger.size()));
}

void SidecarReducer::State::onMessage(const InstanceName &from, const OpenRequest &message)
{
    atMostOnce.onOpen(from, message);
}

void SidecarReducer::State::onMessage(const InstanceName &from, const StartRun &message)
{
    runMessages.onStart(from, message);
}

void SidecarReducer::State::onMessage(const InstanceName &from, const CancelRun &message)
{
    runMessages.onCancel(from, message);
}

void SidecarReducer::State::onMessage(const InstanceName &from, const RunAcknowledged &message)
{
    delivery.acknowledge(message.run, from);
}

void SidecarReducer::State::onMessage(const InstanceName &from, const QueryRuns &message)
{
    runMessages.onQuery(from, message);
}

void SidecarReducer::State::onMessage(const InstanceName &from, const AttachRequest &message)
{
    atMostOnce.onAttach(from, message);
}

void SidecarReducer::State::onMessage(const InstanceName &from, const SealRequest &message)
{
    atMostOnce.onSeal(from, message);
}

void SidecarReducer::State::onMessage(const InstanceName &from, const Ping &message)
{
    context.effects.send(from, Pong{message.sequence});
}

void SidecarReducer::State::onMessage(const InstanceName &from, const Pong &message)
{
    if (context.peers.confirm(from, message.sequence)) {
        context.effects.log(Severity::Info, Part::Sidecar,
                            "A peer has answered a ping after the pause; runs start again.");
    }
}

void SidecarReducer::State::onMessage(const InstanceName &, const Hello &)
{
}

} // namespace bergamottide
