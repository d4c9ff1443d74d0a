#include "bergamottide/side/requesthome.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/**
 * @brief Time without a stream after which the driver of an opened request is taken for dead.
 *
 * A driver that has only lost its stream opens a new one within a second; three times that
 * leaves room for a second loss. A process that waits for the request then learns that it
 * will not run, instead of waiting for its deadline.
 */
constexpr Duration driverGrace = std::chrono::seconds{3};

} // namespace

RequestHome::RequestHome(SideContext &context, RunTable &runs, Ledger &ledger, RunDelivery &delivery,
                         RunScheduler &scheduler)
    : m_context{context}
    , m_runs{runs}
    , m_ledger{ledger}
    , m_delivery{delivery}
    , m_scheduler{scheduler}
{
}

void RequestHome::viewChanged()
{
    m_keys.update(*m_context.view, m_context.identity.pool, m_context.now, keyMemory());
}

void RequestHome::onOpen(const InstanceName &from, const OpenRequest &message)
{
    const Policy &policy = m_context.policy;
    OpenRefused refused{message.request, Reason::None, policy.reportPeriod};
    if (!m_context.document) {
        refused.reason = Reason::StaleView;
    } else if (!m_context.peers.fresh(from)) {
        refused.reason = Reason::Paused;
    } else if (m_context.draining && !m_ledger.knows(message.request)) {
        refused.reason = Reason::Draining;
    } else if (m_delivery.crowded() && !m_ledger.knows(message.request)) {
        refused.reason = Reason::LedgerFull;
    } else if (message.keyed && !m_ledger.knows(message.request)) {
        refused = refuseKeyed(message).value_or(refused);
    }
    if (refused.reason == Reason::None) {
        const Duration remaining = std::min(message.remaining, policy.maxDeadline);
        const LedgerOpening opening = m_ledger.open(message.request, remaining, message.keyed, limits(), m_context.now);
        if (opening.reason == Reason::None) {
            m_drivers[opening.record.serial] = Driver{from, std::nullopt};
            m_context.out.send(from,
                               RequestOpened{message.request, m_context.identity.incarnation, opening.record.serial,
                                             opening.record.state});
            return;
        }
        refused.reason = opening.reason;
        refused.retryAfter = std::max(opening.retryAfter, policy.reportPeriod);
    }
    m_context.out.observe(Metric::RefusalsTotal, {std::string{enumName(refused.reason)}});
    m_context.out.send(from, refused);
}

void RequestHome::onAttach(const InstanceName &from, const AttachRequest &message)
{
    const bool here = message.incarnation == m_context.identity.incarnation;
    const LedgerRecord *record = here ? m_ledger.find(message.serial) : nullptr;
    sendState(from, message.request, here ? message.serial : noSerial);
    if (record == nullptr || record->request != message.request) {
        return;
    }
    if (record->state == LedgerState::Opened) {
        auto &waiting = m_waiting[message.serial];
        if (std::find(waiting.begin(), waiting.end(), from) == waiting.end()) {
            waiting.push_back(from);
        }
        return;
    }
    if (Run *run = m_runs.find(record->run)) {
        m_delivery.follow(*run, from, message.offset);
        return;
    }
    if (record->state == LedgerState::Finished) {
        // It ran, but its result is gone: nothing more can be said.
        m_context.out.send(from, RunFinished{record->run, RunState::Unknown, Reason::UnknownTicket});
    }
}

void RequestHome::onSeal(const InstanceName &from, const SealRequest &message)
{
    const bool here = message.incarnation == m_context.identity.incarnation;
    const LedgerRecord *record = here ? m_ledger.find(message.serial) : nullptr;
    if (record != nullptr && record->request == message.request) {
        sealRecord(message.serial, Reason::Sealed);
    }
    sendState(from, message.request, here ? message.serial : noSerial);
}

void RequestHome::onStart(const InstanceName &from, const StartRun &order, Reason refusal)
{
    if (order.incarnation != m_context.identity.incarnation) {
        m_context.out.send(from, RunFinished{order.run, RunState::NotStarted, Reason::WrongIncarnation});
        return;
    }
    const Reason claim = m_ledger.claim(order.serial, order.run, m_context.now);
    if (claim == Reason::UnknownTicket) {
        // A serial once issued and forgotten may have run long ago; one never issued has not.
        const RunState state = m_ledger.issued(order.serial) ? RunState::Unknown : RunState::NotStarted;
        m_context.out.send(from, RunFinished{order.run, state, Reason::UnknownTicket});
        return;
    }
    if (claim == Reason::DuplicateRequest) {
        answerKnown(from, order);
        return;
    }
    if (claim != Reason::None) {
        sendState(from, order.run.request, order.serial);
        m_context.out.send(from, RunFinished{order.run, RunState::NotStarted, claim});
        return;
    }
    Run run;
    run.order = order;
    run.arrived = m_context.now;
    run.deadline = m_context.now + std::min(order.remaining, m_context.policy.maxDeadline);
    run.due = m_context.now + m_context.policy.progressTimeout / 2;
    Run &added = m_runs.insert(std::move(run));
    m_delivery.hold(added);
    added.followers.push_back({from});
    if (refusal != Reason::None) {
        m_scheduler.refuse(added, refusal);
    } else {
        m_scheduler.enqueue(added);
    }
    tellWaiting(order.serial);
}

void RequestHome::onCancel(const InstanceName &from, const CancelRun &message)
{
    const LedgerRecord *record = m_ledger.find(message.serial);
    const bool open = record != nullptr && record->request == message.run.request
        && (record->state == LedgerState::Opened || record->state == LedgerState::Sealed);
    if (!open) {
        sendState(from, message.run.request, message.serial);
        return;
    }
    sealRecord(message.serial, Reason::Canceled);
    m_context.out.send(from, RunFinished{message.run, RunState::NotStarted, Reason::Canceled});
}

void RequestHome::expire()
{
    for (const Serial serial : m_ledger.expire(m_context.now)) {
        tellWaiting(serial);
    }
    std::erase_if(m_drivers, [this](const auto &entry) {
        const LedgerRecord *record = m_ledger.find(entry.first);
        return record == nullptr || record->state != LedgerState::Opened;
    });
    for (auto &[serial, driver] : m_drivers) {
        if (m_waiting.contains(serial) && driverLost(driver)) {
            sealRecord(serial, Reason::Sealed);
        }
    }
}

bool RequestHome::driverLost(Driver &driver) const
{
    if (m_context.peers.connected(driver.peer)) {
        driver.goneSince.reset();
        return false;
    }
    if (!driver.goneSince) {
        driver.goneSince = m_context.now;
    }
    return *driver.goneSince + driverGrace < m_context.now;
}

LedgerLimits RequestHome::limits() const
{
    return {m_context.policy.ledgerLimit, m_context.policy.resultRetention, keyMemory()};
}

Duration RequestHome::keyMemory() const
{
    Duration longest{};
    if (m_context.document) {
        for (const auto &[name, kind] : m_context.document->kinds) {
            longest = std::max(longest, kind.deadline);
        }
    }
    if (longest == Duration{}) {
        longest = Kind{}.deadline;
    }
    return longest + m_context.policy.resultRetention;
}

std::optional<OpenRefused> RequestHome::refuseKeyed(const OpenRequest &message) const
{
    const KeyVerdict verdict = m_keys.judge(message.request, m_context.identity.instance, m_context.now, keyMemory());
    if (verdict.reason == Reason::None) {
        return std::nullopt;
    }
    return OpenRefused{message.request, verdict.reason, std::max(verdict.retryAfter, m_context.policy.reportPeriod)};
}

void RequestHome::sendState(const InstanceName &peer, const RequestId &request, Serial serial)
{
    RequestState state{request, m_context.identity.incarnation, serial, LedgerState::Absent, {}};
    const LedgerRecord *record = m_ledger.find(serial);
    if (record != nullptr && record->request == request) {
        state.state = record->state;
        state.run = record->run;
    }
    m_context.out.send(peer, state);
}

void RequestHome::sealRecord(Serial serial, Reason reason)
{
    const LedgerRecord *record = m_ledger.find(serial);
    Run *run = record->state == LedgerState::Queued ? m_runs.find(record->run) : nullptr;
    if (run != nullptr) {
        m_scheduler.refuse(*run, reason);
    } else {
        m_ledger.seal(serial, m_delivery.keptUntil());
    }
    tellWaiting(serial);
}

void RequestHome::tellWaiting(Serial serial)
{
    const auto found = m_waiting.find(serial);
    const LedgerRecord *record = m_ledger.find(serial);
    if (found == m_waiting.end() || record == nullptr || record->state == LedgerState::Opened) {
        return;
    }
    const std::vector<InstanceName> waiting = std::move(found->second);
    m_waiting.erase(found);
    for (const InstanceName &peer : waiting) {
        sendState(peer, record->request, serial);
        Run *run = m_runs.find(record->run);
        if (run != nullptr) {
            m_delivery.follow(*run, peer, 0);
        }
    }
}

void RequestHome::answerKnown(const InstanceName &from, const StartRun &order)
{
    // Another driver has started the run of this serial: this one follows it, nothing runs again.
    const LedgerRecord *record = m_ledger.find(order.serial);
    onAttach(from, AttachRequest{record->request, m_context.identity.incarnation, order.serial, 0});
}

} // namespace bergamottide
